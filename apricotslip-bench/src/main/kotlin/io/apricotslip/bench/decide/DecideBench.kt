package io.apricotslip.bench.decide

import io.apricotslip.bench.report.Row
import io.apricotslip.bench.report.ScenarioReport
import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Runs the scenarios of both deployments through all policies, several at a time. */
internal class DecideBench(private val options: DecideOptions) {
    fun run(): List<ScenarioReport> {
        val executor = Executors.newFixedThreadPool(options.threads)
        try {
            val started = scenarios().map { it to start(it, executor) }
            return started.map { (scenario, rows) -> report(scenario, rows.map { it.get() }) }
        } finally {
            executor.shutdown()
        }
    }

    private fun scenarios(): List<Scenario> = Deployment.entries
        .filter { options.deployment == null || it.label.equals(options.deployment, ignoreCase = true) }
        .flatMap { Scenarios(it, options.seed, options.quick).all() }
        .filter { options.scenario == null || it.name == options.scenario }

    private fun start(scenario: Scenario, executor: ExecutorService) =
        policies(scenario).map { policy -> executor.submit(Callable { Row.of(Fleet(scenario, policy).run()) }) }

    private fun policies(scenario: Scenario): List<Policy> {
        val whole = listOf(Policies.product) + Policies.baselines
        val variants = if (scenario.name in WITH_VARIANTS) Policies.ablations else emptyList()
        return whole + variants.filter { options.policy == null || it.name == options.policy }
    }

    private fun report(scenario: Scenario, rows: List<Row>): ScenarioReport {
        val stalls = ClairvoyantBound(scenario).run()
        val bound =
            Row(
                policy = "bound",
                stalls = stalls,
                waits = emptyMap(),
                efficiency = if (scenario.name == NIGHT) EfficiencyBound(scenario).compute() else null,
                loadsPerSecond = null,
                refused = null,
                goodput = null,
                secondsToNormal = null,
            )
        return ScenarioReport(scenario, bound, rows, Policies.baselines.map { it.name }.toSet())
    }

    private companion object {
        const val NIGHT = "night"
        val WITH_VARIANTS = setOf("steady", NIGHT, "engine lost")
    }
}
