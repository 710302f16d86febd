package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.observe.GatewayMetrics
import io.apricotslip.serving.allowance.Admission
import io.apricotslip.serving.allowance.WorkspaceAllowances

/** Checks whether the requests of callers are within the allowances of their workspaces. */
internal class AllowanceGate(
    private val allowances: WorkspaceAllowances,
    private val metrics: GatewayMetrics,
    private val now: () -> Long,
) {
    /** A request that its workspace may not send yet, with a [reason] for the log. */
    class Refusal(val retryAfterMillis: Long, val reason: String)

    /** Takes the cost of [request] from its workspace's allowance; returns null if it is within it. */
    fun acquire(request: CallerRequest, metadata: RequestMetadata): Refusal? {
        // The node that got the request from its caller has counted it.
        if (request.passedOnToken != null) return null
        val workspace = request.owner.workspace ?: return null
        val allowance = workspace.allowance?.takeIf { it.perSecond > 0 } ?: return null
        val time = now()
        val cost = allowance.cost(metadata.promptTokens, metadata.maxOutputTokens)
        val admission = allowances.tryAcquire(workspace.id, cost, time)
        metrics.recordAllowance(workspace.id, cost, admission is Admission.Granted)
        return when (admission) {
            is Admission.Granted -> {
                request.permit = admission.permit
                null
            }
            is Admission.Exceeded -> {
                val figures = admission.figures
                val rates = "asked_per_s=${figures.askedPerSecond.toLong()} " +
                    "allowed_per_s=${figures.allowedPerSecond.toLong()} age_ms=${figures.ageMillis}"
                val reason = "over_allowance workspace=${workspace.id} cost=${cost.toLong()} $rates " +
                    "retry_after_ms=${admission.retryAfterMillis}"
                Refusal(admission.retryAfterMillis, reason)
            }
        }
    }
}
