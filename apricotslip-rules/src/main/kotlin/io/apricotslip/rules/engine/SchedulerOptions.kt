package io.apricotslip.rules.engine

/**
 * Settings of an [AdapterScheduler].
 *
 * @property queueLimit requests that wait at one engine; beyond it the least urgent is refused.
 * @property popularityHalfLifeMillis after this time a past request counts half in the choice of victims.
 * @property loadBackoffMillis wait after the first failed load of an adapter; doubles with each further failure.
 * @property maxLoadBackoffMillis longest wait after a failed load.
 * @property planPromoteMillis a plan that waited this long is treated as interactive work.
 * @property deferrableMaxWaitMillis deferrable work that waited this long is treated as a plan.
 * @property deadlineNearMillis deferrable work whose deadline is this near is treated as a plan.
 * @property drainAfterMillis when work waited this long for a slot and every resident adapter is in use, nothing more
 *   is started on the least popular one.
 * @property evictRefusedPauseMillis an adapter whose evict was refused is no victim for this time.
 * @property evictLeadMillis a victim is evicted this long before the store allows the next load.
 * @property loadMillis time that a load takes at full speed.
 * @property interactiveReserve part of the batch that deferrable work leaves free.
 * @property urgentSlotRatio part of the slots that deferrable work leaves to the rest; at least one slot.
 * @property loadedAhead adapters of deferrable work that may be resident before the batch has room for it.
 * @property startPauseMillis wait after the engine refused to start a request.
 * @property deferrablePopularity what a deferrable request counts in popularity; another counts 1.
 * @property loadPolicy which waiting adapter is loaded next.
 * @property evictionPolicy which idle adapter is evicted first.
 */
public data class SchedulerOptions(
    public val goal: SchedulerGoal = SchedulerGoal.LOAD_STALLS,
    public val queueLimit: Int = 1_024,
    public val popularityHalfLifeMillis: Long = 900_000,
    public val loadBackoffMillis: Long = 500,
    public val maxLoadBackoffMillis: Long = 15_000,
    public val planPromoteMillis: Long = 45_000,
    public val deferrableMaxWaitMillis: Long = 3_600_000,
    public val deadlineNearMillis: Long = 300_000,
    public val drainAfterMillis: Long = 1_000,
    public val evictRefusedPauseMillis: Long = 2_000,
    public val evictLeadMillis: Long = 20,
    public val loadMillis: Long = 250,
    public val interactiveReserve: Double = 0.125,
    public val urgentSlotRatio: Double = SchedulerDefaults.urgentSlotRatio(goal),
    public val loadedAhead: Int = 4,
    public val startPauseMillis: Long = 50,
    public val deferrablePopularity: Double = 0.5,
    public val loadPolicy: LoadPolicy = LoadPolicy.WEIGHTED,
    public val evictionPolicy: EvictionPolicy = EvictionPolicy.POPULARITY,
)
