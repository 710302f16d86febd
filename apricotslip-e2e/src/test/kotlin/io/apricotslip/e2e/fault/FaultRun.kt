package io.apricotslip.e2e.fault

import io.apricotslip.api.history.EventKind
import io.apricotslip.e2e.cluster.Cluster
import io.apricotslip.testutils.history.History
import io.apricotslip.testutils.invariant.InForceInTime
import io.apricotslip.testutils.invariant.Invariants
import io.apricotslip.testutils.invariant.Violation
import java.time.Duration

/** Result of a run. [requestCount] and [answeredCount] count completion requests at live VMs during the faults. */
internal data class FaultResult(val violations: List<Violation>, val requestCount: Int, val answeredCount: Int) {
    val answeredShare: Double get() = if (requestCount == 0) 0.0 else answeredCount.toDouble() / requestCount
}

/**
 * Runs a [FaultPlan] on a started cluster under a steady workload. The faults are injected in the middle of the run;
 * manifests are committed before and during them.
 */
internal class FaultRun(private val cluster: Cluster, private val plan: FaultPlan) {
    private val injector = FaultInjector(cluster)
    private var revision = 1L

    @Volatile
    private var targets = cluster.names()

    fun run(): FaultResult {
        val workload = Workload(cluster, plan.seed).start(REQUEST_COUNT, REQUEST_INTERVAL) { targets }
        sleep(WARM_UP)
        commit()
        val faultStartNanos = System.nanoTime()
        targets = cluster.names() - plan.affectedVms
        plan.faults.forEach(injector::begin)
        repeat(COMMIT_COUNT) {
            sleep(FAULT_DURATION.dividedBy(COMMIT_COUNT.toLong()))
            commit()
        }
        plan.faults.forEach(injector::end)
        val faultEndNanos = System.nanoTime()
        cluster.awaitReady(cluster.names())
        targets = cluster.names()
        workload.get()
        awaitLastManifest()
        return buildResult(faultStartNanos, faultEndNanos)
    }

    private fun commit() = cluster.commit(cluster.manifests.of(++revision))

    private fun sleep(time: Duration) = Thread.sleep(time.toMillis())

    private fun awaitLastManifest() = cluster.await("revision $revision on all nodes") {
        cluster.nodes.values.all { "\"revision\":$revision," in cluster.manifestInForce(it) }
    }

    private fun buildResult(faultStartNanos: Long, faultEndNanos: Long): FaultResult {
        val history = cluster.history()
        val inForceInTime = InForceInTime(revision, faultEndNanos, cluster.names().toSet(), RECOVERY_LIMIT)
        val requests = requestsDuringFaults(history, faultStartNanos, faultEndNanos)
        val violations = Invariants.violations(history, Invariants.always + inForceInTime)
        return FaultResult(violations, requests.size, requests.count { it in history.answered() })
    }

    /** Completion requests at live VMs that were sent during the faults or were in progress when the faults began. */
    private fun requestsDuringFaults(history: History, faultStartNanos: Long, faultEndNanos: Long): List<String> =
        history.requests
            .filterKeys { !it.startsWith(RESERVATION_PREFIX) }
            .filterValues { events ->
                val invoke = events.first { it.kind == EventKind.INVOKE }
                invoke.at <= faultEndNanos &&
                    events.maxOf { it.at } >= faultStartNanos &&
                    invoke.detail !in plan.affectedVms
            }.keys
            .toList()

    private companion object {
        const val REQUEST_COUNT = 160
        const val COMMIT_COUNT = 3
        const val RESERVATION_PREFIX = "book"
        val REQUEST_INTERVAL: Duration = Duration.ofMillis(90)
        val WARM_UP: Duration = Duration.ofSeconds(3)
        val FAULT_DURATION: Duration = Duration.ofSeconds(6)
        val RECOVERY_LIMIT: Duration = Duration.ofSeconds(20)
    }
}
