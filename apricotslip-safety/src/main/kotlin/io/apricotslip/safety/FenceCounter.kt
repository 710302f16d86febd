package io.apricotslip.safety

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.ListRevision

/** What to do after an engine refused an order with `stale_fence`. */
public sealed class FenceAdvice {
    /** Give the order again with the next number. */
    public data object Retry : FenceAdvice()

    /** A newer list is in use: give no order until this VM has adopted and tenured it. */
    public data object Stop : FenceAdvice()
}

/**
 * Fencing numbers of the orders of this VM, `revision * 2^20 + n`: rule 7 of docs/DESIGN.md. More than 2^20 orders to
 * one engine under one list run on into the numbers of the next list, where [onStaleFence] raises those of the next owner.
 */
public class FenceCounter {
    private val last = HashMap<BackendServerId, Long>()

    /** The number of the next order to [server] under the list [revision]; higher than all before it. */
    public fun next(server: BackendServerId, revision: ListRevision): FenceNumber {
        val number = maxOf(last[server] ?: 0, revision.value shl ORDER_BITS) + 1
        last[server] = number
        return FenceNumber(number)
    }

    /** Takes the [highest] number that [server] has seen, as it said when it refused an order under [revision]. */
    public fun onStaleFence(server: BackendServerId, highest: FenceNumber, revision: ListRevision): FenceAdvice {
        val issued = last[server] ?: 0
        if (highest.value > issued && highest.value shr ORDER_BITS > revision.value) return FenceAdvice.Stop
        if (highest.value > issued) last[server] = highest.value + IN_FLIGHT
        return FenceAdvice.Retry
    }

    private companion object {
        const val ORDER_BITS = 20

        /** More orders than a former life of this VM can have had in flight, unseen by the engine. */
        const val IN_FLIGHT = 1024
    }
}
