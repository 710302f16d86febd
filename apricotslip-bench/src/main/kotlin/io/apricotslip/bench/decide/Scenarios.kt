package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass

internal const val ADAPTERS = 3_000
internal const val EXPONENT = 1.0

/** The scenarios of docs/MEASUREMENTS.md, at 80% of what the store and the engines of a deployment can carry. */
internal class Scenarios(private val deployment: Deployment, private val seed: Long, quick: Boolean) {
    private val zipf = Zipf(ADAPTERS, EXPONENT)
    private val warmUp = seconds(if (quick) QUICK_SECONDS else WARM_UP_SECONDS)
    private val end = warmUp + seconds(if (quick) QUICK_SECONDS else MEASURED_SECONDS)
    private val summaries = if (quick) QUICK_SUMMARIES else SUMMARIES
    private val sending = seconds(if (quick) QUICK_SEND_SECONDS else NIGHT_SEND_SECONDS)
    private val middle = warmUp + (end - warmUp) / 2
    private val carries = deployment.carries(zipf)
    private val rate = carries * LOAD
    private val steady = Stretch(0, end, rate)

    fun all(): List<Scenario> =
        listOf(steady(), night(), shift(), burst(), scan(), engineLost(), storeFails(), storeDown(), pair())

    fun steady(): Scenario = scenario("steady") { it.poisson(steady) }

    /** Summaries for the members of many clubs, sent within minutes, beside a quarter of the day's other load. */
    fun night(): Scenario = scenario("night", rest = seconds(NIGHT_REST_SECONDS)) {
        it.poisson(Stretch(0, end, rate * NIGHT_PART, deferrable = false))
        val until = warmUp + sending
        it.spread(summaries, warmUp, until, WorkClass.DEFERRABLE, SUMMARY_TOKENS, NIGHT_DEADLINE_SECONDS) { random ->
            zipf.draw(random)
        }
    }

    /** From one moment on the popularity of all adapters is another. */
    private fun shift(): Scenario = scenario("shift") {
        it.poisson(Stretch(0, middle, rate))
        it.poisson(Stretch(middle, end, rate) { rank -> (rank + SHIFT) % ADAPTERS })
    }

    /** One quiet adapter is asked for five times a second for a minute, and all requests triple for its first third. */
    private fun burst(): Scenario = scenario("burst") {
        it.poisson(steady)
        it.poisson(Stretch(middle, middle + seconds(SURGE_SECONDS), rate * 2))
        val count = (BURST_PER_SECOND * BURST_SECONDS).toInt()
        val until = middle + seconds(BURST_SECONDS)
        it.spread(count, middle, until, WorkClass.INTERACTIVE, BURST_TOKENS, BURST_DEADLINE_SECONDS) { QUIET }
    }

    /** Somebody asks for one cold adapter after the other, at a tenth of the store's rate, as plans. */
    private fun scan(): Scenario = scenario("scan") {
        it.poisson(Stretch(0, end, rate * SCAN_REST))
        val length = (end - warmUp) / NANOS_PER_SECOND
        val count = (deployment.store.loadsPerSecond * SCAN_PART * length).toInt()
        var next = ADAPTERS / 2
        it.spread(count, warmUp, end, WorkClass.PLAN, SCAN_TOKENS, SCAN_DEADLINE_SECONDS) { next++ % ADAPTERS }
    }

    private fun engineLost(): Scenario = scenario("engine lost", listOf(lost())) { it.poisson(steady) }

    private fun storeFails(): Scenario = scenario("store fails 30%", listOf(failing(PART_FAILING))) {
        it.poisson(steady)
    }

    private fun storeDown(): Scenario = scenario("store down 30 s", listOf(failing(1.0, seconds(DOWN_SECONDS)))) {
        it.poisson(steady)
    }

    private fun pair(): Scenario =
        scenario("engine lost, store fails 30%", listOf(lost(), failing(PART_FAILING))) { it.poisson(steady) }

    /** The engine that the others miss least is no test: a fast one is lost. */
    private fun lost(): Fault = Fault.EngineLost(deployment.engines.lastIndex, middle, middle + seconds(FAULT_SECONDS))

    private fun failing(part: Double, length: Long = seconds(FAULT_SECONDS)): Fault =
        Fault.StoreFails(part, middle, middle + length)

    private fun scenario(
        name: String,
        faults: List<Fault> = emptyList(),
        rest: Long = seconds(REST_SECONDS),
        fill: (ScenarioBuilder) -> Unit,
    ): Scenario {
        val builder = ScenarioBuilder(deployment, seed, zipf)
        fill(builder)
        return Scenario(name, deployment, seed, warmUp, end + rest, builder.arrivals(), faults, carries)
    }

    private companion object {
        const val LOAD = 0.8
        const val WARM_UP_SECONDS = 900L
        const val MEASURED_SECONDS = 1_200L
        const val QUICK_SECONDS = 400L
        const val REST_SECONDS = 60L
        const val SUMMARIES = 6_000
        const val QUICK_SUMMARIES = 2_000
        const val NIGHT_PART = 0.25
        const val NIGHT_SEND_SECONDS = 300L
        const val QUICK_SEND_SECONDS = 100L
        const val NIGHT_REST_SECONDS = 1_800L
        const val NIGHT_DEADLINE_SECONDS = 14_400L
        const val SUMMARY_TOKENS = 600
        const val SHIFT = 1_000
        const val QUIET = 2_000
        const val BURST_SECONDS = 60L
        const val SURGE_SECONDS = 20L
        const val BURST_PER_SECOND = 5.0
        const val BURST_TOKENS = 60
        const val BURST_DEADLINE_SECONDS = 30L
        const val SCAN_PART = 0.1
        const val SCAN_REST = 0.9
        const val SCAN_TOKENS = 100
        const val SCAN_DEADLINE_SECONDS = 120L
        const val FAULT_SECONDS = 60L
        const val DOWN_SECONDS = 30L
        const val PART_FAILING = 0.3
    }
}
