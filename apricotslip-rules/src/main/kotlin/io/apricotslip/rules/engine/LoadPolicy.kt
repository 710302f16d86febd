package io.apricotslip.rules.engine

/** Decides which of the adapters that requests wait for is loaded next. */
public enum class LoadPolicy {
    /** By urgency, then by the age and number of the waiting requests. */
    WEIGHTED,

    /** The adapter whose oldest waiting request arrived first (FCFS); a baseline for comparisons. */
    FIRST_COME_FIRST_SERVED,
}
