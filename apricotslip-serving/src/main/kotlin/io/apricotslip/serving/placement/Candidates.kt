package io.apricotslip.serving.placement

import io.apricotslip.serving.fleet.Server
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/**
 * Which servers a selector compares for a request.
 *
 * Workload: nodes that know the work of each other up to 0.9 s late, and that would all choose the server that looks
 * best, which is full then.
 */
public sealed class Candidates {
    /** The servers to compare first, of [sound] ones that could answer at once; the others if none of them can. */
    internal open fun first(sound: List<Server>): List<Server> = sound

    /** Time in milliseconds that is added to the estimate for a server, for what this node does not know. */
    internal open fun noiseMillis(): Double = 0.0

    /** All servers, by what is known of them. */
    public data object All : Candidates()

    /**
     * A few engines at random; and application servers, whose work is shorter than the figures are old, by the requests
     * of this node alone.
     *
     * @param speedPower power of the measured speed by which an engine is more likely among them; 0 for all alike.
     * @param widens whether all engines are compared, those that would load the adapter too, if the better one of the
     * drawn ones is busy. Otherwise an adapter in demand stays on as many engines as hold it, few of which are drawn.
     */
    public class Few(
        private val random: Random = Random.Default,
        private val count: Int = ENGINES,
        private val speedPower: Double = 0.0,
        private val widens: Boolean = false,
    ) : Candidates() {
        override fun first(sound: List<Server>): List<Server> = when {
            sound.size <= count -> sound
            speedPower == 0.0 -> sound.shuffled(random).take(count)
            // The smallest of exponentially distributed times with a rate each: a draw by these rates.
            else -> sound.map { it to -ln(1 - random.nextDouble()) * slowness(it) }.sortedBy { it.second }
                .take(count).map { it.first }
        }

        internal fun shuffled(servers: List<Server>) = servers.shuffled(random)

        /** Whether [server], the better one of the drawn ones, is too busy for [request] to do without the others. */
        internal fun widensFor(server: Server, request: PlacementRequest): Boolean {
            if (!widens || request.targetGapMillis == 0L) return false
            val work = server.totalUtilization()
            if (work.running > server.entry.requestSlots * BUSY_SHARE) return true
            val tokens = work.pendingPromptTokens + request.promptTokens
            val gapMillis = server.latencyEstimator.longestGapMillis(tokens, work.running + 1)
            return gapMillis > request.targetGapMillis * SAFE_GAP_SHARE
        }

        private fun slowness(server: Server) = (server.fleetTiming?.speed?.relative ?: 1.0).pow(speedPower)
    }

    /** All servers, with an exponentially distributed time of [meanMillis] that is added to each estimate. */
    public class Noisy(private val random: Random = Random.Default, private val meanMillis: Double) : Candidates() {
        override fun noiseMillis() = -ln(1 - random.nextDouble()) * meanMillis
    }

    private companion object {
        /** With 4 or 12 engines fewer calls of the replay of the room were in time than with 2. */
        const val ENGINES = 2

        /** Share of an engine's slots; prompts that are read beside more streams make their pauses long. */
        const val BUSY_SHARE = 0.25

        /** Share of the longest pause in time; less than for the choice itself, as a load takes its time. */
        const val SAFE_GAP_SHARE = 0.6
    }
}
