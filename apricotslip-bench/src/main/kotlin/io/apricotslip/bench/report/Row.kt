package io.apricotslip.bench.report

import io.apricotslip.api.work.WorkClass
import io.apricotslip.bench.decide.Percentiles
import io.apricotslip.bench.decide.RunResult

/** Results of one policy: a row in the table of a scenario. */
internal class Row(
    val policy: String,
    val stalls: Map<WorkClass, Percentiles>,
    val waits: Map<WorkClass, Percentiles>,
    val efficiency: Double?,
    val loadsPerSecond: Double?,
    val refusedShare: Double?,
    val goodput: Double?,
    val recoverySeconds: Double?,
) {
    val interactive: Percentiles get() = stalls.getValue(WorkClass.INTERACTIVE)

    companion object {
        fun of(result: RunResult): Row {
            val scenario = result.scenario
            val from = scenario.faultFrom
            val until = scenario.faultUntil
            return Row(
                policy = result.policy,
                stalls = WorkClass.entries.associateWith { result.stalls(it) },
                waits = WorkClass.entries.associateWith { result.waits(it) },
                efficiency = result.efficiency,
                loadsPerSecond = result.loads / (scenario.end / NANOS_PER_SECOND),
                refusedShare = result.refused().toDouble() / result.measuredCount(),
                goodput = if (from == null ||
                    until == null
                ) {
                    null
                } else {
                    result.goodput(from, until, scenario.sustainableRateInFault)
                },
                recoverySeconds = if (from == null || until == null) null else result.recoverySeconds(from, until),
            )
        }

        private const val NANOS_PER_SECOND = 1e9
    }
}
