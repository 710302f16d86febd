package io.apricotslip.rules.engine

/** What a scheduler weighs more. */
public enum class SchedulerGoal {
    /** Short waits for adapters. */
    LOAD_STALLS,

    /** Full batches. */
    BATCH_EFFICIENCY,
}
