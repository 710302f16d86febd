package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.testutils.history.History

/** A call that may not be repeated runs at most once for each idempotency key. */
public object AtMostOneRun : Invariant {
    override val name: String = "at-most-one-run"

    override fun violations(history: History): List<Violation> = history.servers
        .filter { it.kind == EventKind.RESERVE }
        .groupBy { it.key.orEmpty() }
        .filterValues { it.size > 1 }
        .map { (key, runs) -> Violation(name, key, "ran ${runs.size} times: on ${runs.joinToString { it.process }}") }
}
