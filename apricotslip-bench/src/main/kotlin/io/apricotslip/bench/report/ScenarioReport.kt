package io.apricotslip.bench.report

import io.apricotslip.bench.decide.Scenario

/** Results of all policies on one scenario; [bound] has the bounds of the stalls and the efficiency. */
internal class ScenarioReport(val scenario: Scenario, val bound: Row, val rows: List<Row>, baselineNames: Set<String>) {
    val title: String = "${scenario.deployment.label}, ${scenario.name}, seed ${scenario.seed}"
    val product: Row = rows.first()
    val baselines: List<Row> = rows.filter { it.policy in baselineNames }
    val bestP99Baseline: Row = baselines.minBy { it.interactive.p99 }
    val bestEfficiencyBaseline: Row = baselines.maxBy { it.efficiency ?: 0.0 }
}
