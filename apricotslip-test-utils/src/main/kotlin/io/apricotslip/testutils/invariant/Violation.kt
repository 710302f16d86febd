package io.apricotslip.testutils.invariant

/** A broken invariant that a history shows. [reason] is one sentence in English. */
public data class Violation(public val invariant: String, public val subject: String, public val reason: String) {
    override fun toString(): String = "invariant=$invariant subject=$subject reason=\"$reason\""
}
