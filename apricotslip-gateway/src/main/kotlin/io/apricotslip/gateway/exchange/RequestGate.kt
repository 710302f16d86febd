package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.ServiceId
import io.apricotslip.serving.crash.RequestStanding
import io.apricotslip.serving.fleet.Server

/** Connects one request to what is known about requests that crash servers. */
internal class RequestGate(
    private val context: ExchangeContext,
    private val traits: RequestTraits,
    private val service: ServiceId,
) {
    private val quarantine = context.rules.quarantine

    /** Whether the answer has begun, which shows that the request does not crash servers. */
    var answered = false
        private set

    /** Whether the request may be sent to a server now. */
    fun standing(): RequestStanding =
        if (quarantine.hasEvidence) quarantine.standing(traits.all, context.now()) else RequestStanding.Clear

    /** Handles that the answer has begun. */
    fun onAnswered() {
        answered = true
        val cleared = if (quarantine.hasEvidence) traits.all else traits.parts
        quarantine.recordAnswered(service, cleared, context.now())
    }

    /** Handles that [server] closed the connection before it answered the request, which was sent at [sentAt]. */
    fun onClosedBeforeAnswer(server: Server, sentAt: Long) =
        context.servers.crashWatch.onClosedBeforeAnswer(server, traits, sentAt)

    companion object {
        /** Interval of checks whether an answer elsewhere has dispelled a suspicion. */
        const val SUSPENDED_POLL_MILLIS = 100L
    }
}
