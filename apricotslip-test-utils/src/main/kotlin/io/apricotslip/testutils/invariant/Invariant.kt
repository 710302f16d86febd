package io.apricotslip.testutils.invariant

import io.apricotslip.testutils.history.History

/** One invariant of the system and the check whether a history keeps it. */
public interface Invariant {
    /** Short name for reports. */
    public val name: String

    /** Every violation in [history]; empty when the invariant is kept. */
    public fun violations(history: History): List<Violation>
}
