package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass
import kotlin.math.ln
import kotlin.math.max
import kotlin.random.Random

/**
 * A period in which requests arrive at [rate] per second. [adapterOfRank] maps a popularity rank to an adapter.
 */
internal class TrafficPhase(
    val from: Long,
    val to: Long,
    val rate: Double,
    val deferrable: Boolean = true,
    val adapterOfRank: (Int) -> Int = { it },
)

/**
 * Requests and faults of one run.
 *
 * @property warmUp requests that arrive earlier are not measured.
 * @property sustainableRate requests per second that the deployment sustains without faults.
 */
internal class Scenario(
    val name: String,
    val deployment: Deployment,
    val seed: Long,
    val warmUp: Long,
    val end: Long,
    val arrivals: List<Arrival>,
    val faults: List<Fault> = emptyList(),
    private val sustainableRate: Double = 0.0,
) {
    val lastArrival: Long = arrivals.last().work.arrivedAt
    val faultFrom: Long? = faults.minOfOrNull { it.startsAt }

    /** Requests per second sustainable with the remaining engines and successful loads during the most severe fault. */
    val sustainableRateInFault: Double =
        faults.minOfOrNull { it.remainingRatio(deployment) * sustainableRate } ?: sustainableRate
    val faultUntil: Long? = faults.maxOfOrNull { it.endsAt }
}

/** Draws the arrivals of a scenario. */
internal class ScenarioBuilder(private val deployment: Deployment, seed: Long, private val zipf: Zipf) {
    private val random = Random(seed)
    private val arrivals = ArrayList<Arrival>()

    fun poisson(phase: TrafficPhase) {
        var at = phase.from.toDouble()
        while (true) {
            at += -ln(1 - random.nextDouble()) / phase.rate * NANOS_PER_SECOND
            if (at >= phase.to) return
            val mix = draw()
            if (mix.workClass == WorkClass.DEFERRABLE && !phase.deferrable) continue
            add(at.toLong(), phase.adapterOfRank(zipf.draw(random)), mix.workClass, mix.meanTokens, mix.deadlineSeconds)
        }
    }

    /** Adds [count] requests at uniformly random times between [from] and [to] for adapters drawn by [adapter]. */
    @Suppress("LongParameterList")
    fun uniform(
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
        var remainingShare = random.nextDouble()
        return deployment.classMix.first { mix ->
            remainingShare -= mix.share
            remainingShare < 0 || mix === deployment.classMix.last()
        }
    }

    private fun add(at: Long, adapter: Int, workClass: WorkClass, meanTokens: Int, deadlineSeconds: Long) {
        val tokens = max(MIN_ANSWER_TOKENS, (-ln(1 - random.nextDouble()) * meanTokens).toInt())
        val maxTokens = meanTokens * MAX_TOKENS_FACTOR
        val prefix = random.nextInt(PREFIX_COUNT).toLong()
        val work = Arrivals.workItem(arrivals.size, adapter, workClass, at, deadlineSeconds, maxTokens, prefix)
        arrivals += Arrival(work, minOf(tokens, maxTokens), random.nextInt(deployment.vms))
    }

    private companion object {
        const val MIN_ANSWER_TOKENS = 4
        const val MAX_TOKENS_FACTOR = 2
        const val PREFIX_COUNT = 3
    }
}
