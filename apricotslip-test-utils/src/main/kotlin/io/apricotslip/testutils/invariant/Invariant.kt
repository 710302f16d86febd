package io.apricotslip.testutils.invariant

import io.apricotslip.testutils.history.History

/** An invariant of the system that recorded histories are checked against. */
public interface Invariant {
    /** Short name used in reports. */
    public val name: String

    /** Returns every violation in [history]; empty if the invariant holds. */
    public fun violations(history: History): List<Violation>
}
