package io.apricotslip.testutils.invariant

import io.apricotslip.testutils.history.History

/** The invariants that hold in every run, whatever fails. */
public object Invariants {
    /** Invariants without parameters. */
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

    /** Violations of [invariants] in [history]. */
    public fun violations(history: History, invariants: List<Invariant> = always): List<Violation> =
        invariants.flatMap { it.violations(history) }
}
