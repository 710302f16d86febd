package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.testutils.history.History

/** Every request ends by its deadline. A caller that times out waiting records a refusal with the detail [HANG]. */
public object NothingHangs : Invariant {
    /** Detail of a refusal that the caller itself records once the deadline plus a margin has passed. */
    public const val HANG: String = "hang"

    override val name: String = "nothing-hangs"

    override fun violations(history: History): List<Violation> = history.callers
        .filter { it.kind == EventKind.REFUSED && it.detail == HANG }
        .map { Violation(name, it.request.orEmpty(), "did not end by its deadline") }
}
