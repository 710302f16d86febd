package io.apricotslip.rules.engine

/** The objective that a scheduler favors. */
public enum class SchedulerGoal {
    /** Requests wait a short time for their adapter to be loaded. */
    LOAD_STALLS,

    /** Batches are full. */
    BATCH_EFFICIENCY,
}
