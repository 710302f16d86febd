package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/**
 * The manifest of a VM never reverts to an older one. The revisions in force strictly increase within a process
 * incarnation. The revisions that requests are bound to never decrease, even across restarts of the VM.
 */
public object ManifestNeverReverts : Invariant {
    override val name: String = "manifest-never-reverts"

    override fun violations(history: History): List<Violation> =
        inForceViolations(history) + boundRequestViolations(history)

    private fun inForceViolations(history: History): List<Violation> = history.incarnations.flatMap { events ->
        events.filter { it.kind == EventKind.IN_FORCE }.groupBy { it.process }.flatMap { (vm, ofVm) ->
            regressions(ofVm, allowsRepeat = false).map { Violation(name, vm, "in force: $it") }
        }
    }

    private fun boundRequestViolations(history: History): List<Violation> = history.vms
        .filter { it.kind == EventKind.INVOKE && it.revision != null }
        .groupBy { it.process }
        .flatMap { (vm, events) ->
            regressions(events, allowsRepeat = true).map { Violation(name, vm, "bound requests to: $it") }
        }

    private fun regressions(events: List<HistoryEvent>, allowsRepeat: Boolean): List<String> =
        events.sortedBy { it.at }.mapNotNull { it.revision }.zipWithNext().mapNotNull { (before, after) ->
            val isRegression = after < before || (after == before && !allowsRepeat)
            if (isRegression) "revision $after after $before" else null
        }
}
