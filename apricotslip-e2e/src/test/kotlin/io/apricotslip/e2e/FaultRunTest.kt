package io.apricotslip.e2e

import io.apricotslip.api.manifest.FenceCheck
import io.apricotslip.e2e.cluster.Cluster
import io.apricotslip.e2e.cluster.ClusterOptions
import io.apricotslip.e2e.cluster.EngineOptions
import io.apricotslip.e2e.cluster.RunDirectory
import io.apricotslip.e2e.fault.FaultPlan
import io.apricotslip.e2e.fault.FaultPlans
import io.apricotslip.e2e.fault.FaultRun
import org.junit.jupiter.api.Tag
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThanOrEqualTo
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/**
 * Runs a cluster of real processes under injected faults and checks that every invariant holds. Each run prints how
 * many requests were answered, since a cluster that refuses every request would satisfy the invariants trivially.
 *
 * Run the soak test with `mvn -pl apricotslip-e2e -am verify -De2e.excludedGroups=`.
 */
internal class FaultRunTest {
    @ParameterizedTest(name = "{0}")
    @MethodSource("everyBuild")
    fun `every invariant holds under faults`(plan: FaultPlan) = run(plan)

    @Tag("soak")
    @ParameterizedTest(name = "{0}")
    @MethodSource("soak")
    fun `every invariant holds in the soak test`(plan: FaultPlan) = run(plan)

    private fun run(plan: FaultPlan) {
        val directory = RunDirectory.of(plan.name.replace(' ', '-'))
        val result =
            Cluster(options, directory).use { cluster ->
                cluster.start()
                FaultRun(cluster, plan).run()
            }
        report(
            "run=\"${plan.name}\" seed=${plan.seed} asked=${result.requestCount} answered=${result.answeredCount}",
            directory,
        )
        expectThat(result.violations).isEmpty()
        plan.minAnsweredShare?.let { expectThat(result.answeredShare).isGreaterThanOrEqualTo(it) }
    }

    private fun report(line: String, directory: Path) {
        println(line)
        val file = directory.resolveSibling("shares.txt")
        Files.writeString(file, "$line\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND)
    }

    private companion object {
        /** More adapter versions than slots, which forces evictions; engines with and without a fencing token check. */
        val options =
            ClusterOptions(
                engines =
                listOf(EngineOptions("e1"), EngineOptions("e2", fence = FenceCheck.IGNORED), EngineOptions("e3")),
                adapters = listOf("plans", "notes", "answers", "summaries"),
            )

        @JvmStatic
        fun everyBuild(): List<FaultPlan> = FaultPlans.everyBuild

        @JvmStatic
        fun soak(): List<FaultPlan> = FaultPlans.soak
    }
}
