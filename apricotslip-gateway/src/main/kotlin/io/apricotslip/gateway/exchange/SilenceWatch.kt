package io.apricotslip.gateway.exchange

import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.member.FleetExchange

/**
 * Takes requests away from servers that are silent.
 *
 * A server that is silent for a second may be sound, and nothing tells a pause from an end while it lasts. So only a
 * request that can go on elsewhere is tried there, once the server where it would go on was heard after the silence
 * began: what is silent may be the links of this node, or all servers. The attempt at the silent server is kept until
 * another one answers, since the request may be turned away there. Every other request waits for its answer. It
 * ends with its deadline, with its caller, or when TCP keepalive shows that the connection is dead.
 *
 * @param openRequests requests in flight at this node.
 * @param confirm asks a server for any answer, and records when it was heard.
 */
internal class SilenceWatch(private val openRequests: Collection<Exchange>, private val confirm: (Server) -> Unit) {
    /** Puts silent servers into backoff, and takes requests away from them. */
    fun tick(now: Long) {
        val silent = silentRequests(now)
        val servers = silent.mapNotNullTo(LinkedHashSet()) { exchange ->
            exchange.attempt?.takeIf { isServerSilent(it, now) }?.server
        }
        // Before requests are taken away, so that none goes from one silent server to another.
        servers.filter { it.health.usable(now) }.forEach { it.health.recordUnreachable(now) }
        silent.forEach(::takeAway)
        silentRequests(now + CONFIRM_LEAD_MILLIS).mapNotNullTo(LinkedHashSet(), ::unheardAlternative).forEach(confirm)
    }

    private fun takeAway(exchange: Exchange) {
        val attempt = exchange.attempt ?: return
        val alternative = exchange.detour.serverInsteadOf(attempt.server)
        val canGoOn = alternative != null && isHeardSince(attempt, alternative)
        if (canGoOn || exchange.detour.leadsToOtherNode()) exchange.tryElsewhere()
    }

    /** The server where the request of [exchange] could go on, if it was not heard since the silence began. */
    private fun unheardAlternative(exchange: Exchange): Server? {
        val attempt = exchange.attempt ?: return null
        return exchange.detour.serverInsteadOf(attempt.server)?.takeUnless { isHeardSince(attempt, it) }
    }

    private fun isHeardSince(attempt: Attempt, server: Server) = server.health.lastHeardAt > attempt.lastActiveAt

    private fun silentRequests(now: Long): List<Exchange> = openRequests.filter { exchange ->
        exchange.attempt?.takeUnless { exchange.runsOnce }?.let { isSilent(it, now) } ?: false
    }

    private fun isSilent(attempt: Attempt, now: Long): Boolean {
        val silentMillis = now - attempt.lastActiveAt
        return !attempt.readingPaused && silentMillis > attempt.maxSilenceMillis &&
            (silentMillis > MAX_CONNECTION_SILENCE_MILLIS || isServerSilent(attempt, now))
    }

    private fun isServerSilent(attempt: Attempt, now: Long): Boolean =
        now - maxOf(attempt.lastActiveAt, attempt.server.health.lastHeardAt) > attempt.maxSilenceMillis

    private companion object {
        /** One stream may pause while others of the same engine continue, when the engine has reclaimed its memory. */
        const val MAX_CONNECTION_SILENCE_MILLIS = 2_000L

        /** An answer to the question arrives before the next tick, so that asking delays nothing. */
        const val CONFIRM_LEAD_MILLIS = FleetExchange.INTERVAL_MILLIS
    }
}
