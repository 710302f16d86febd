package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass

internal const val ADAPTER_COUNT = 3_000
internal const val ZIPF_EXPONENT = 1.0

/** The scenarios of docs/MEASUREMENTS.md, at 80% of the sustainable rate of a deployment. */
internal class Scenarios(private val deployment: Deployment, private val seed: Long, quick: Boolean) {
    private val zipf = Zipf(ADAPTER_COUNT, ZIPF_EXPONENT)
    private val warmUp = seconds(if (quick) QUICK_SECONDS else WARM_UP_SECONDS)
    private val end = warmUp + seconds(if (quick) QUICK_SECONDS else MEASURED_SECONDS)
    private val summaryCount = if (quick) QUICK_SUMMARY_COUNT else SUMMARY_COUNT
    private val sendNanos = seconds(if (quick) QUICK_SEND_SECONDS else NIGHT_SEND_SECONDS)
    private val midpoint = warmUp + (end - warmUp) / 2
    private val sustainableRate = deployment.sustainableRate(zipf)
    private val rate = sustainableRate * UTILIZATION
    private val steadyPhase = TrafficPhase(0, end, rate)

    fun all(): List<Scenario> = listOf(
        steady(),
        night(),
        shift(),
        burst(),
        scan(),
        engineLost(),
        storeFails(),
        storeDown(),
        engineLostAndStoreFails(),
    )

    fun steady(): Scenario = scenario("steady") { it.poisson(steadyPhase) }

    /** Deferrable summaries for many clubs, sent within minutes, plus a quarter of the daytime traffic. */
    fun night(): Scenario = scenario("night", drain = seconds(NIGHT_DRAIN_SECONDS)) {
        it.poisson(TrafficPhase(0, end, rate * NIGHT_RATE_SHARE, deferrable = false))
        val until = warmUp + sendNanos
        it.uniform(
            summaryCount,
            warmUp,
            until,
            WorkClass.DEFERRABLE,
            SUMMARY_TOKENS,
            NIGHT_DEADLINE_SECONDS,
        ) { random -> zipf.draw(random) }
    }

    /** The popularity of all adapters changes at once at the midpoint. */
    private fun shift(): Scenario = scenario("shift") {
        it.poisson(TrafficPhase(0, midpoint, rate))
        it.poisson(TrafficPhase(midpoint, end, rate) { rank -> (rank + RANK_SHIFT) % ADAPTER_COUNT })
    }

    /** An unpopular adapter gets five requests a second for a minute; the total rate triples for its first third. */
    private fun burst(): Scenario = scenario("burst") {
        it.poisson(steadyPhase)
        it.poisson(TrafficPhase(midpoint, midpoint + seconds(SURGE_SECONDS), rate * 2))
        val count = (BURST_PER_SECOND * BURST_SECONDS).toInt()
        val until = midpoint + seconds(BURST_SECONDS)
        it.uniform(count, midpoint, until, WorkClass.INTERACTIVE, BURST_TOKENS, BURST_DEADLINE_SECONDS) {
            UNPOPULAR_ADAPTER
        }
    }

    /** One client requests a sequence of cold adapters as plan work, at a tenth of the store's rate. */
    private fun scan(): Scenario = scenario("scan") {
        it.poisson(TrafficPhase(0, end, rate * SCAN_BASE_RATE_SHARE))
        val seconds = (end - warmUp) / NANOS_PER_SECOND
        val count = (deployment.store.loadsPerSecond * SCAN_STORE_SHARE * seconds).toInt()
        var next = ADAPTER_COUNT / 2
        it.uniform(count, warmUp, end, WorkClass.PLAN, SCAN_TOKENS, SCAN_DEADLINE_SECONDS) { next++ % ADAPTER_COUNT }
    }

    private fun engineLost(): Scenario = scenario("engine lost", listOf(engineLoss())) { it.poisson(steadyPhase) }

    private fun storeFails(): Scenario = scenario("store fails 30%", listOf(storeFailure(FAILURE_RATIO))) {
        it.poisson(steadyPhase)
    }

    private fun storeDown(): Scenario =
        scenario("store down 30 s", listOf(storeFailure(1.0, seconds(OUTAGE_SECONDS)))) { it.poisson(steadyPhase) }

    private fun engineLostAndStoreFails(): Scenario =
        scenario("engine lost, store fails 30%", listOf(engineLoss(), storeFailure(FAILURE_RATIO))) {
            it.poisson(steadyPhase)
        }

    /** Fails a fast engine, because the loss of a slow one would hardly load the others. */
    private fun engineLoss(): Fault =
        Fault.EngineLoss(deployment.engines.lastIndex, midpoint, midpoint + seconds(FAULT_SECONDS))

    private fun storeFailure(failureRatio: Double, duration: Long = seconds(FAULT_SECONDS)): Fault =
        Fault.StoreFailure(failureRatio, midpoint, midpoint + duration)

    private fun scenario(
        name: String,
        faults: List<Fault> = emptyList(),
        drain: Long = seconds(DRAIN_SECONDS),
        fill: (ScenarioBuilder) -> Unit,
    ): Scenario {
        val builder = ScenarioBuilder(deployment, seed, zipf)
        fill(builder)
        return Scenario(name, deployment, seed, warmUp, end + drain, builder.arrivals(), faults, sustainableRate)
    }

    private companion object {
        const val UTILIZATION = 0.8
        const val WARM_UP_SECONDS = 900L
        const val MEASURED_SECONDS = 1_200L
        const val QUICK_SECONDS = 400L
        const val DRAIN_SECONDS = 60L
        const val SUMMARY_COUNT = 6_000
        const val QUICK_SUMMARY_COUNT = 2_000
        const val NIGHT_RATE_SHARE = 0.25
        const val NIGHT_SEND_SECONDS = 300L
        const val QUICK_SEND_SECONDS = 100L
        const val NIGHT_DRAIN_SECONDS = 1_800L
        const val NIGHT_DEADLINE_SECONDS = 14_400L
        const val SUMMARY_TOKENS = 600
        const val RANK_SHIFT = 1_000
        const val UNPOPULAR_ADAPTER = 2_000
        const val BURST_SECONDS = 60L
        const val SURGE_SECONDS = 20L
        const val BURST_PER_SECOND = 5.0
        const val BURST_TOKENS = 60
        const val BURST_DEADLINE_SECONDS = 30L
        const val SCAN_STORE_SHARE = 0.1
        const val SCAN_BASE_RATE_SHARE = 0.9
        const val SCAN_TOKENS = 100
        const val SCAN_DEADLINE_SECONDS = 120L
        const val FAULT_SECONDS = 60L
        const val OUTAGE_SECONDS = 30L
        const val FAILURE_RATIO = 0.3
    }
}
