package io.apricotslip.testutils.invariant

import io.apricotslip.testutils.history.History

/** The invariants that every run is checked against, whichever faults are injected. */
public object Invariants {
    /** Invariants that take no parameters and hold at all times. */
    public val always: List<Invariant> =
        listOf(
            ExactAdapter,
            WholeAnswers,
            NoEvictionInUse,
            AtMostOneRun,
            NotRunDidNotRun,
            ManifestNeverReverts,
            NothingHangs,
        )

    /** Returns all violations of [invariants] in [history]. */
    public fun violations(history: History, invariants: List<Invariant> = always): List<Violation> =
        invariants.flatMap { it.violations(history) }
}
