package io.apricotslip.bench.decide

import io.apricotslip.bench.report.Row
import io.apricotslip.bench.report.ScenarioReport
import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Runs the scenarios of both deployments with all policies, several runs in parallel. */
internal class DecideBench(private val options: DecideOptions) {
    fun run(): List<ScenarioReport> {
        val executor = Executors.newFixedThreadPool(options.threads)
        try {
            val submitted = scenarios().map { it to submit(it, executor) }
            return submitted.map { (scenario, rows) -> report(scenario, rows.map { it.get() }) }
        } finally {
            executor.shutdown()
        }
    }

    private fun scenarios(): List<Scenario> = Deployment.entries
        .filter { options.deployment == null || it.label.equals(options.deployment, ignoreCase = true) }
        .flatMap { Scenarios(it, options.seed, options.quick).all() }
        .filter { options.scenario == null || it.name == options.scenario }

    private fun submit(scenario: Scenario, executor: ExecutorService) = policies(scenario).map { policy ->
        executor.submit(Callable { Row.of(FleetSimulation(scenario, policy).run()) })
    }

    private fun policies(scenario: Scenario): List<Policy> {
        val fullPolicies = listOf(Policies.product) + Policies.baselines
        val ablations = if (scenario.name in SCENARIOS_WITH_ABLATIONS) Policies.ablations else emptyList()
        return fullPolicies + ablations.filter { options.policy == null || it.name == options.policy }
    }

    private fun report(scenario: Scenario, rows: List<Row>): ScenarioReport {
        val stalls = ClairvoyantBound(scenario).run()
        val bound =
            Row(
                policy = "bound",
                stalls = stalls,
                waits = emptyMap(),
                efficiency = if (scenario.name == NIGHT_SCENARIO) EfficiencyBound(scenario).compute() else null,
                loadsPerSecond = null,
                refusedShare = null,
                goodput = null,
                recoverySeconds = null,
            )
        return ScenarioReport(scenario, bound, rows, Policies.baselines.map { it.name }.toSet())
    }

    private companion object {
        const val NIGHT_SCENARIO = "night"
        val SCENARIOS_WITH_ABLATIONS = setOf("steady", NIGHT_SCENARIO, "engine lost")
    }
}
