package io.apricotslip.rules.store

/** How much a load matters, most urgent first. */
public enum class LoadUrgency {
    /** An interactive request waits for it. */
    INTERACTIVE,

    /** A plan waits for it. */
    PLAN,

    /** Only deferrable work waits for it. */
    DEFERRABLE,
}
