package io.apricotslip.rules.engine

/** Default values of [SchedulerOptions] that depend on the [SchedulerGoal]. */
internal object SchedulerDefaults {
    fun urgentSlotRatio(goal: SchedulerGoal): Double = when (goal) {
        SchedulerGoal.LOAD_STALLS -> 0.25
        SchedulerGoal.BATCH_EFFICIENCY -> 0.125
    }
}
