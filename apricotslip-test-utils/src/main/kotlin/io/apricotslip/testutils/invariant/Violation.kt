package io.apricotslip.testutils.invariant

/** A violation of [invariant] found in a history. [reason] is a short explanation in English. */
public data class Violation(public val invariant: String, public val subject: String, public val reason: String) {
    override fun toString(): String = "invariant=$invariant subject=$subject reason=\"$reason\""
}
