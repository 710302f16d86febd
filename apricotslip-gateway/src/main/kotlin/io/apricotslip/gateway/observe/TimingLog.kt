package io.apricotslip.gateway.observe

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.Server

/** Logs when a server becomes slow, failing or sound by the measurements of all nodes; at most two lines a second. */
internal class TimingLog(private val fleet: Fleet, private val log: DecisionLog, private val now: () -> Long) {
    private enum class State { SOUND, SLOW, FAILING }

    private val logged = HashMap<BackendServerId, State>()
    private var loggedAt = Long.MIN_VALUE / 2

    fun tick() {
        if (now() - loggedAt < INTERVAL_MILLIS) return
        logged.keys.removeIf { fleet[it] == null }
        val server = fleet.all.firstOrNull { stateOf(it) != (logged[it.id] ?: State.SOUND) } ?: return
        val state = stateOf(server)
        loggedAt = now()
        logged[server.id] = state
        val timing = server.fleetTiming
        log.write {
            "event=server_timing server=${server.id} state=${state.name.lowercase()} " +
                "relative=${timing?.speed?.relative} failure_share=${timing?.sums?.failureShare} " +
                "responses=${timing?.sums?.responses}"
        }
    }

    private fun stateOf(server: Server): State {
        val relative = server.fleetTiming?.speed?.relative ?: 1.0
        val slowFrom = if (logged[server.id] == State.SLOW) SOUND_BELOW else SLOW_FROM
        return when {
            server.fleetTiming?.failing == true -> State.FAILING
            relative >= slowFrom -> State.SLOW
            else -> State.SOUND
        }
    }

    private companion object {
        const val INTERVAL_MILLIS = 500L

        /** Speeds of sound servers are 0.6 to 1.6 of the mean, so that the slowest takes 1.7 times as long. */
        const val SLOW_FROM = 2.0
        const val SOUND_BELOW = 1.6
    }
}
