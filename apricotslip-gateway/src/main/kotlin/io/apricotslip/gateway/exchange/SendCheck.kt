package io.apricotslip.gateway.exchange

import io.apricotslip.serving.crash.RequestStanding
import io.apricotslip.serving.fleet.Admission
import io.apricotslip.serving.fleet.Server

/**
 * Asks again, right before a request is sent, what was decided when its server was selected: the request may have
 * waited for a connection or for the load of an adapter since.
 */
internal class SendCheck(
    private val context: ExchangeContext,
    private val requestGate: RequestGate,
    private val continuity: StreamContinuity,
) {
    /** Why the request may not be sent to [server] now, for the log; null when it may. */
    fun obstacle(server: Server): String? {
        if (requestGate.standing() != RequestStanding.Clear) return "suspected"
        if (!continuity.allows(server)) return "other_version"
        return when (context.servers.fleet.admission(server, context.now())) {
            Admission.Open -> null
            Admission.Gone -> "gone"
            Admission.Leaving -> "leaving"
            is Admission.Paused -> "paused"
        }
    }
}
