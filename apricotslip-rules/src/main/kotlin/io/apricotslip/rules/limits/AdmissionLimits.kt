package io.apricotslip.rules.limits

import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.work.WorkClass

/**
 * Admission control of one entry VM: counts the requests in progress and refuses those beyond the limits. Each work
 * class has a limit of its own.
 */
public class AdmissionLimits(private val options: AdmissionOptions = AdmissionOptions()) {
    private val customers = HashMap<CustomerId, Int>()
    private val classes = IntArray(WorkClass.entries.size)

    /** Admits a request and returns null, or returns the code to refuse it with. */
    @Suppress("UnusedParameter")
    public fun tryAdmit(customer: CustomerId, workClass: WorkClass, now: Long): RefusalCode? {
        if (classes[workClass.ordinal] >= limit(workClass)) return RefusalCode.OVERLOADED
        val running = customers[customer] ?: 0
        if (running >= options.perCustomer) return RefusalCode.CUSTOMER_LIMIT
        customers[customer] = running + 1
        classes[workClass.ordinal] += 1
        return null
    }

    /** Records that an admitted request ended. */
    public fun release(customer: CustomerId, workClass: WorkClass) {
        val running = customers[customer] ?: return
        if (running == 1) customers.remove(customer) else customers[customer] = running - 1
        classes[workClass.ordinal] -= 1
    }

    private fun limit(workClass: WorkClass): Int = when (workClass) {
        WorkClass.INTERACTIVE -> options.interactive
        WorkClass.PLAN -> options.plan
        WorkClass.DEFERRABLE -> options.deferrable
    }
}
