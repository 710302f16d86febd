package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/**
 * The manifest of a VM never reverts: revisions in force grow within a process life, and requests are bound to
 * revisions that do not fall, also over restarts of the VM.
 */
public object ManifestNeverReverts : Invariant {
    override val name: String = "manifest-never-reverts"

    override fun violations(history: History): List<Violation> = inForce(history) + bound(history)

    private fun inForce(history: History): List<Violation> = history.lives.flatMap { life ->
        life.filter { it.kind == EventKind.IN_FORCE }.groupBy { it.process }.flatMap { (vm, events) ->
            falls(events, mayRepeat = false).map { Violation(name, vm, "in force: $it") }
        }
    }

    private fun bound(history: History): List<Violation> = history.vms
        .filter { it.kind == EventKind.INVOKE && it.revision != null }
        .groupBy { it.process }
        .flatMap { (vm, events) ->
            falls(events, mayRepeat = true).map { Violation(name, vm, "bound requests to: $it") }
        }

    private fun falls(events: List<HistoryEvent>, mayRepeat: Boolean): List<String> =
        events.sortedBy { it.at }.mapNotNull { it.revision }.zipWithNext().mapNotNull { (before, after) ->
            val falls = after < before || (after == before && !mayRepeat)
            if (falls) "revision $after after $before" else null
        }
}
