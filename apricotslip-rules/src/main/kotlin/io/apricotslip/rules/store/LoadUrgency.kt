package io.apricotslip.rules.store

/** Urgency of an adapter load, the most urgent first. */
public enum class LoadUrgency {
    /** An interactive request waits for the load. */
    INTERACTIVE,

    /** A plan request waits for the load. */
    PLAN,

    /** Only deferrable requests wait for the load. */
    DEFERRABLE,
}
