package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.testutils.history.History
import java.time.Duration

/**
 * An accepted manifest is in force in time.
 *
 * @param revision the manifest.
 * @param since when it was committed or, for VMs that could reach nobody then, when the cut healed; nanoseconds.
 * @param vms the VMs that can reach the platform or a peer from [since] on.
 * @param limit time limit of the invariant.
 */
public class InForceInTime(
    private val revision: Long,
    private val since: Long,
    private val vms: Set<String>,
    private val limit: Duration,
) : Invariant {
    override val name: String = "in-force-in-time"

    override fun violations(history: History): List<Violation> = vms.mapNotNull { vm ->
        val at =
            history.vms
                .filter { it.kind == EventKind.IN_FORCE && it.process == vm && (it.revision ?: 0) >= revision }
                .minOfOrNull { it.at }
        when {
            at == null -> Violation(name, vm, "revision $revision never came into force")
            at - since > limit.toNanos() -> Violation(name, vm, "revision $revision after ${millis(at)} ms")
            else -> null
        }
    }

    private fun millis(at: Long): Long = Duration.ofNanos(at - since).toMillis()
}
