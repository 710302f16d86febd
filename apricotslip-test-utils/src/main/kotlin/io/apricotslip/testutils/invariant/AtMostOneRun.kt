package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.testutils.history.History

/** A non-idempotent call is executed at most once per idempotency key, across all backend servers. */
public object AtMostOneRun : Invariant {
    override val name: String = "at-most-one-run"

    override fun violations(history: History): List<Violation> = history.servers
        .filter { it.kind == EventKind.RESERVE }
        .groupBy { it.key.orEmpty() }
        .filterValues { it.size > 1 }
        .map { (key, executions) ->
            Violation(name, key, "ran ${executions.size} times: on ${executions.joinToString { it.process }}")
        }
}
