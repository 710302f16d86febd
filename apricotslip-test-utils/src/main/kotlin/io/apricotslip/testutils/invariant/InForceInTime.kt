package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.testutils.history.History
import java.time.Duration

/**
 * A committed manifest comes into force on each VM within a time limit.
 *
 * @param revision revision of the manifest.
 * @param since start of the limit in nanoseconds: the commit of the manifest or, for VMs that were isolated at that
 *   time, the end of the network partition.
 * @param vms the VMs that can reach the platform or a peer from [since] on.
 * @param limit maximum time from [since] until the revision, or a later one, is in force.
 */
public class InForceInTime(
    private val revision: Long,
    private val since: Long,
    private val vms: Set<String>,
    private val limit: Duration,
) : Invariant {
    override val name: String = "in-force-in-time"

    override fun violations(history: History): List<Violation> = vms.mapNotNull { vm ->
        val inForceAt =
            history.vms
                .filter { it.kind == EventKind.IN_FORCE && it.process == vm && (it.revision ?: 0) >= revision }
                .minOfOrNull { it.at }
        when {
            inForceAt == null -> Violation(name, vm, "revision $revision never came into force")

            inForceAt - since > limit.toNanos() ->
                Violation(name, vm, "revision $revision came into force after ${elapsedMillis(inForceAt)} ms")

            else -> null
        }
    }

    private fun elapsedMillis(inForceAt: Long): Long = Duration.ofNanos(inForceAt - since).toMillis()
}
