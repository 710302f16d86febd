package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.ServiceId
import io.apricotslip.gateway.help.HandOver
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.placement.PlacementDecision
import io.apricotslip.serving.state.Route

/**
 * Where a request that is at a server could go on if its attempt there were ended now. It asks what the request would
 * be asked afterwards: the route, the attempts, the retry budget, the servers and the time that are left.
 */
internal class Detour(
    private val context: ExchangeContext,
    private val route: Route,
    private val service: ServiceId,
    private val placement: Placement,
    private val timing: Placement.Timing,
    private val counts: AttemptCounts,
    private val triedServers: TriedServers,
    private val handOver: HandOver,
    private val sendCheck: SendCheck,
    private val forwarder: ResponseForwarder,
) {
    /** Whether another node would take the request over, because this one reaches no server. */
    fun leadsToOtherNode(): Boolean = isRepeatable() && handOver.isPossible(counts.executions + 1, forwarder.started)

    /** The server that the request would be sent to instead of [current]; null when there is none. */
    fun serverInsteadOf(current: Server): Server? {
        val now = context.now()
        if (!isRepeatable() || !context.rules.retryBudget(service).available(now, context.nodeCount())) return null
        val decision = placement.chooseAlternative(triedServers.excluded + current.id, timing, now)
        val server = when (decision) {
            is PlacementDecision.Send -> decision.server
            is PlacementDecision.LoadAdapter -> decision.server.takeUnless { counts.loadsExhausted }
            is PlacementDecision.Wait, is PlacementDecision.Refuse -> null
        }
        return server?.takeIf { sendCheck.obstacle(it) == null }
    }

    private fun isRepeatable(): Boolean =
        route.retryable && counts.executions + 1 < route.maxAttempts && !counts.retriesExhausted &&
            forwarder.canContinue
}
