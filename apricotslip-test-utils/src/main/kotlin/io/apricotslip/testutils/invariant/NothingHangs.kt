package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.testutils.history.History

/** No request stays without an end past its deadline; a caller that gave up waiting recorded [HANG]. */
public object NothingHangs : Invariant {
    /** Detail of a refusal that the caller made up itself, past the deadline and a margin. */
    public const val HANG: String = "hang"

    override val name: String = "nothing-hangs"

    override fun violations(history: History): List<Violation> = history.callers
        .filter { it.kind == EventKind.REFUSED && it.detail == HANG }
        .map { Violation(name, it.request.orEmpty(), "no end by its deadline") }
}
