package io.apricotslip.serving.reach

import io.apricotslip.api.id.BackendServerId

/**
 * Whether this node reaches backend servers over its own links, or is cut off from all of them.
 *
 * Workload: a node loses its links to all servers for some seconds, while callers, the store and other nodes still
 * reach it. Connections hang, are reset, or live on while new ones are refused. A sound server may be silent for a
 * second, and servers may all be down, so silence alone is only a suspicion: other servers are probed then, and the
 * node takes itself for cut off when none of them answers although other nodes reach servers. A node without requests
 * probes a server now and then, so that its first callers do not pay for a cut that nobody has noticed.
 */
public class ServerReach {
    /** What this node believes of its links. */
    public enum class State {
        REACHING,

        /** Requests are unanswered and probes are under way. */
        SUSPECTED,
        CUT_OFF,
    }

    private var unansweredSince: Long? = null
    private val failedSinceHeard = HashSet<BackendServerId>()
    private val refusedSinceConnected = HashSet<BackendServerId>()
    private var othersReach = false
    private var probedAt = NEVER
    private var heardAt: Long? = null

    public var state: State = State.REACHING
        private set

    /** Whether this node has lost its links to all servers. */
    public val isCutOff: Boolean
        get() = state == State.CUT_OFF

    /** Whether this node can carry requests of others: its links work, as far as it knows. */
    public val canHelp: Boolean
        get() = state == State.REACHING && heardAt != null && refusedSinceConnected.size < MIN_FAILED_SERVERS

    /** Whether several servers refused new connections, and no new one has carried a byte since. */
    public val refusesNewConnections: Boolean
        get() = refusedSinceConnected.size >= MIN_FAILED_SERVERS

    /** Whether a request that needs a new connection is better served by another node. */
    public val avoidsNewConnections: Boolean
        get() = refusesNewConnections && othersReach

    /** Whether what looks like failures of servers may be the loss of the links to them. */
    public val failuresDoubtful: Boolean
        get() = state != State.REACHING || failedSinceHeard.size >= MIN_FAILED_SERVERS

    /** Records that a request was sent or a connection is being opened at [now]. */
    public fun recordSent(now: Long) {
        if (unansweredSince == null) unansweredSince = now
    }

    /** Records that bytes arrived from a server at [now]. */
    public fun recordHeard(now: Long) {
        heardAt = now
        unansweredSince = null
        failedSinceHeard.clear()
        state = State.REACHING
    }

    /** Records that the first bytes arrived on a new connection at [now]; that it was accepted shows little. */
    public fun recordNewConnectionHeard(now: Long) {
        refusedSinceConnected.clear()
        recordHeard(now)
    }

    /** Records that no connection to [server] could be opened, or that a new one ended before it carried a byte. */
    public fun recordRefused(server: BackendServerId) {
        refusedSinceConnected.add(server)
        failedSinceHeard.add(server)
    }

    /** Records that [server], or what is between, ended a connection with a request in progress. */
    public fun recordBroken(server: BackendServerId) {
        failedSinceHeard.add(server)
    }

    /** Records that this process was paused, so that the time without an answer tells nothing. */
    public fun onPaused() {
        unansweredSince = null
    }

    /**
     * Updates the state at [now]; [othersReach] tells whether another node reaches servers. Returns the number of
     * servers that are to be probed.
     */
    public fun tick(now: Long, othersReach: Boolean): Int {
        this.othersReach = othersReach
        val probeIsDue = now - probedAt >= PROBE_MILLIS
        when (state) {
            State.REACHING -> when {
                suspicious(now) -> state = State.SUSPECTED
                refusesNewConnections && probeIsDue -> Unit
                else -> return if (isIdle(now)) 1 else 0
            }
            State.SUSPECTED -> {
                if (!probeIsDue) return 0
                if (othersReach) state = State.CUT_OFF
            }
            State.CUT_OFF -> if (!probeIsDue) return 0
        }
        probedAt = now
        return SERVERS_PER_PROBE
    }

    private fun isIdle(now: Long) = unansweredSince == null && now - (heardAt ?: 0) >= IDLE_MILLIS

    private fun suspicious(now: Long): Boolean {
        val silentMillis = unansweredSince?.let { now - it } ?: 0
        return silentMillis >= SILENCE_MILLIS || failedSinceHeard.size >= MIN_FAILED_SERVERS
    }

    public companion object {
        /** One may be down or busy at the same time; more would add to the load of servers in trouble. */
        public const val SERVERS_PER_PROBE: Int = 3

        private const val NEVER = Long.MIN_VALUE / 2

        /** One server that fails is more likely down than out of reach. */
        private const val MIN_FAILED_SERVERS = 2

        /** Longer than the usual first event of a stream; with the probes short against a caller's patience. */
        private const val SILENCE_MILLIS = 600L

        /** Many round trips between availability zones. Also the interval of probes while links fail. */
        private const val PROBE_MILLIS = 300L

        /** With [SILENCE_MILLIS] and [PROBE_MILLIS] short against the time in which nodes must act on a cut. */
        private const val IDLE_MILLIS = 1_000L
    }
}
