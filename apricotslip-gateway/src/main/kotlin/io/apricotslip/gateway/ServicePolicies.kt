package io.apricotslip.gateway

import io.apricotslip.api.id.ServiceId
import io.apricotslip.serving.limit.ReturnSchedule
import io.apricotslip.serving.placement.Candidates
import io.apricotslip.serving.retry.RetryBudget

/** The policies of this node that each service has for itself. */
internal class ServicePolicies(private val options: GatewayOptions) {
    private val retryBudgets = HashMap<ServiceId, RetryBudget>()
    private val returnSchedules = HashMap<ServiceId, ReturnSchedule>()

    fun retryBudget(service: ServiceId): RetryBudget = retryBudgets.getOrPut(service) {
        RetryBudget(options.retryBudgetRatio, options.retryBudgetSlack, options.retryBudgetWindowMillis)
    }

    private val few = Candidates.Few()
    private val fewBySpeed = Candidates.Few(speedPower = 1.0)
    private val fewOrAllBySpeed = Candidates.Few(speedPower = 1.0, widens = true)

    /** The engines to compare in a fleet of [nodes] where requests wait at the nodes ([queues]), or do not. */
    fun engineCandidates(queues: Boolean, nodes: Int): Candidates = when {
        options.joinsServerTimings && queues -> fewBySpeed
        options.joinsServerTimings && nodes > MAX_NODES_WITH_FRESH_FIGURES -> fewOrAllBySpeed
        queues -> few
        else -> Candidates.All
    }

    /** The application servers to compare where requests wait at the nodes ([queues]), or where they do not. */
    fun plainCandidates(queues: Boolean): Candidates = if (queues) few else Candidates.All

    fun returnSchedule(service: ServiceId): ReturnSchedule = returnSchedules.getOrPut(service) { ReturnSchedule() }

    private companion object {
        /**
         * Nodes of a small fleet are all hubs and know the work of each other after 0.15 to 0.3 s; in the replay of 6
         * nodes more streams were in time with all engines (0.82) than with two (0.81).
         */
        const val MAX_NODES_WITH_FRESH_FIGURES = 12
    }
}
