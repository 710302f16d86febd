package io.apricotslip.rules.engine

/** Which waiting adapter is loaded next. */
public enum class LoadPolicy {
    /** By urgency, then by age and number of those that wait. */
    WEIGHTED,

    /** The adapter whose first request came first; a baseline. */
    FIRST_COME_FIRST_SERVED,
}
