package io.apricotslip.e2e

import io.apricotslip.api.manifest.FenceCheck
import io.apricotslip.e2e.cluster.Cluster
import io.apricotslip.e2e.cluster.ClusterOptions
import io.apricotslip.e2e.cluster.EngineOptions
import io.apricotslip.e2e.cluster.RunDirectory
import io.apricotslip.e2e.fault.Fault
import io.apricotslip.e2e.fault.FaultPlan
import io.apricotslip.e2e.fault.FaultRun
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThanOrEqualTo
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** Real processes under faults. Each run prints the share answered: refusing everything would be no proof. */
internal class FaultRunTest {
    @ParameterizedTest(name = "{0}")
    @MethodSource("plans")
    fun `every invariant holds under faults`(plan: FaultPlan) {
        val directory = RunDirectory.of(plan.name.replace(' ', '-'))
        val result =
            Cluster(options, directory).use { cluster ->
                cluster.start()
                FaultRun(cluster, plan).run()
            }
        report("run=\"${plan.name}\" seed=${plan.seed} asked=${result.asked} answered=${result.answered}", directory)
        expectThat(result.violations).isEmpty()
        plan.share?.let { expectThat(result.share).isGreaterThanOrEqualTo(it) }
    }

    private fun report(line: String, directory: Path) {
        println(line)
        val file = directory.resolveSibling("shares.txt")
        Files.writeString(file, "$line\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND)
    }

    companion object {
        private const val NINE_IN_TEN = 0.9

        /** More adapter versions than slots, so that evicts are needed; engines with and without a fencing check. */
        private val options =
            ClusterOptions(
                engines =
                listOf(EngineOptions("e1"), EngineOptions("e2", fence = FenceCheck.IGNORED), EngineOptions("e3")),
                adapters = listOf("plans", "notes", "answers", "summaries"),
            )

        @JvmStatic
        fun plans(): List<FaultPlan> = listOf(
            FaultPlan("no fault", 1, emptyList(), NINE_IN_TEN),
            FaultPlan("kill", 2, listOf(Fault.Kill("vm-2")), NINE_IN_TEN),
            FaultPlan("freeze and wake", 3, listOf(Fault.Freeze("vm-1")), NINE_IN_TEN),
            FaultPlan("cut off", 4, listOf(Fault.Cut("vm-3"))),
            FaultPlan("held and late", 5, listOf(Fault.Hold("vm-2"))),
            FaultPlan("one way", 6, listOf(Fault.HoldOneWay("vm-1"))),
            FaultPlan("silent links", 7, listOf(Fault.SilentLinks)),
            FaultPlan("silent engine", 8, listOf(Fault.SilentEngine("e1"))),
            FaultPlan("platform down", 9, listOf(Fault.Platform("down"))),
            FaultPlan("platform stale", 10, listOf(Fault.Platform("stale"))),
            FaultPlan("engine restart", 11, listOf(Fault.EngineRestart("e2"))),
            FaultPlan("engine freeze", 12, listOf(Fault.EngineFreeze("e1", 4_000))),
            FaultPlan("failed loads", 13, listOf(Fault.FailedLoads(5))),
            FaultPlan("lost booking answers", 14, listOf(Fault.LostBookingAnswers(3)), NINE_IN_TEN),
            FaultPlan("kill and platform down", 15, listOf(Fault.Kill("vm-3"), Fault.Platform("down"))),
            FaultPlan("freeze and engine restart", 16, listOf(Fault.Freeze("vm-2"), Fault.EngineRestart("e3"))),
            FaultPlan("cut and silent engine", 17, listOf(Fault.Cut("vm-1"), Fault.SilentEngine("e2"))),
        )
    }
}
