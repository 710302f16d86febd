package io.apricotslip.serving.timing

/** Estimates the speed of a server from its [TimingSums], and from those of its [peers] where it has few samples. */
public class SpeedEstimates(peers: TimingSums) {
    private val peers = peers.takeIf { it.firstEvents > 0 }

    /** The speed of the server with [sums]; null when no server has samples. */
    public fun of(sums: TimingSums): ServerSpeed? {
        val peers = peers ?: return null
        val prior = PRIOR_FIRST_EVENTS / peers.firstEvents
        val count = PRIOR_FIRST_EVENTS + sums.firstEvents
        val tokens = peers.tokens * prior + sums.tokens
        val workMillis = work(peers) * prior + work(sums)
        val firstMillis = (peers.firstMillis * prior + sums.firstMillis) / count
        val perToken = if (tokens > 0) workMillis / tokens else 0.0
        val meanPerToken = if (peers.tokens > 0) work(peers) / peers.tokens else 0.0
        val relative = when {
            meanPerToken > 0 -> perToken / meanPerToken
            else -> firstMillis / (peers.firstMillis.toDouble() / peers.firstEvents).coerceAtLeast(1.0)
        }
        val noGaps = peers.gaps == 0 || peers.gapMillis == 0L
        if (noGaps) return ServerSpeed(perToken, firstMillis, gapMillis = null, relative)
        val gapPrior = PRIOR_GAPS / peers.gaps
        val gaps = PRIOR_GAPS + sums.gaps
        // Gaps tell the speed better than first events: they are far more, and the time until a first event contains
        // the queue that the node does not know of.
        val gapMillis = (peers.gapMillis * gapPrior + sums.gapMillis) / gaps
        val relativeGap = gapMillis * peers.gaps / peers.gapMillis
        return ServerSpeed(
            millisPerToken = meanPerToken * relativeGap,
            firstMillis = firstMillis,
            gapMillis = gapMillis,
            relative = relativeGap,
        )
    }

    /** Time until the first events without the part that does not depend on the length of the prompts. */
    private fun work(sums: TimingSums) = (sums.firstMillis - sums.firstEvents * BASE_MILLIS).coerceAtLeast(0.0)

    public companion object {
        /** One engine step plus the network round trip. */
        internal const val BASE_MILLIS: Double = 25.0

        /** Samples for which the mean of the peers counts: an engine gets about five first events per second. */
        private const val PRIOR_FIRST_EVENTS = 3.0

        /** About 150 gaps per second are measured at an engine. */
        private const val PRIOR_GAPS = 30.0
    }
}
