package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass
import kotlin.math.ln
import kotlin.math.max
import kotlin.random.Random

/** A stretch of time in which requests come at [rate] per second. [ranks] maps a rank of popularity to an adapter. */
internal class Stretch(
    val from: Long,
    val to: Long,
    val rate: Double,
    val deferrable: Boolean = true,
    val ranks: (Int) -> Int = { it },
)

/**
 * Requests and faults of one run.
 *
 * @property warmUp time before which nothing is measured.
 * @property carried requests per second that the deployment can carry when nothing fails.
 */
internal class Scenario(
    val name: String,
    val deployment: Deployment,
    val seed: Long,
    val warmUp: Long,
    val end: Long,
    val arrivals: List<Arrival>,
    val faults: List<Fault> = emptyList(),
    private val carried: Double = 0.0,
) {
    val lastArrival: Long = arrivals.last().work.arrivedAt
    val faultFrom: Long? = faults.minOfOrNull { it.at }

    /** Requests per second that what remains can carry: the part of the engines, and of the loads that succeed. */
    val carriedInFault: Double = faults.minOfOrNull { it.remaining(deployment) * carried } ?: carried
    val faultUntil: Long? = faults.maxOfOrNull { it.until }
}

/** Draws the arrivals of a scenario. */
internal class ScenarioBuilder(private val deployment: Deployment, seed: Long, private val zipf: Zipf) {
    private val random = Random(seed)
    private val arrivals = ArrayList<Arrival>()

    fun poisson(stretch: Stretch) {
        var at = stretch.from.toDouble()
        while (true) {
            at += -ln(1 - random.nextDouble()) / stretch.rate * NANOS_PER_SECOND
            if (at >= stretch.to) return
            val mix = draw()
            if (mix.workClass == WorkClass.DEFERRABLE && !stretch.deferrable) continue
            add(at.toLong(), stretch.ranks(zipf.draw(random)), mix.workClass, mix.meanTokens, mix.deadlineSeconds)
        }
    }

    /** Requests of [workClass] for the adapters that [adapter] gives, spread evenly between [from] and [to]. */
    @Suppress("LongParameterList")
    fun spread(
        count: Int,
        from: Long,
        to: Long,
        workClass: WorkClass,
        meanTokens: Int,
        deadlineSeconds: Long,
        adapter: (Random) -> Int,
    ) {
        repeat(count) {
            val at = from + (random.nextDouble() * (to - from)).toLong()
            add(at, adapter(random), workClass, meanTokens, deadlineSeconds)
        }
    }

    fun arrivals(): List<Arrival> = arrivals.sortedBy { it.work.arrivedAt }

    private fun draw(): ClassMix {
        var left = random.nextDouble()
        return deployment.mix.first { mix ->
            left -= mix.part
            left < 0 || mix === deployment.mix.last()
        }
    }

    private fun add(at: Long, adapter: Int, workClass: WorkClass, meanTokens: Int, deadlineSeconds: Long) {
        val tokens = max(LEAST_TOKENS, (-ln(1 - random.nextDouble()) * meanTokens).toInt())
        val most = meanTokens * MAX_TOKENS_FACTOR
        val prefix = random.nextInt(PREFIXES).toLong()
        val work = Arrivals.work(arrivals.size, adapter, workClass, at, deadlineSeconds, most, prefix)
        arrivals += Arrival(work, minOf(tokens, most), random.nextInt(deployment.vms))
    }

    private companion object {
        const val LEAST_TOKENS = 4
        const val MAX_TOKENS_FACTOR = 2
        const val PREFIXES = 3
    }
}
