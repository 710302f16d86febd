package io.apricotslip.rules.engine

/**
 * Options of an [AdapterScheduler].
 *
 * @property goal objective that the scheduler favors.
 * @property queueLimit maximum number of queued requests of one engine; beyond it the least urgent one is refused.
 * @property popularityHalfLifeMillis time after which a past request counts half when choosing an adapter to evict.
 * @property loadBackoffMillis backoff after the first failed load of an adapter; doubles with each further failure.
 * @property maxLoadBackoffMillis upper bound of the backoff after a failed load.
 * @property planPromotionMillis wait after which a plan request is treated as interactive.
 * @property deferrableMaxWaitMillis wait after which a deferrable request is treated as a plan request.
 * @property deadlinePromotionMillis remaining time to the deadline below which a deferrable request is treated as a
 *   plan request.
 * @property drainAfterMillis wait of a request for a slot after which, with every resident adapter in use, the adapter
 *   that is expected to become idle first is drained.
 * @property evictRefusedPauseMillis time for which an adapter whose evict was refused is not chosen as a victim again.
 * @property evictLeadMillis time by which an evict precedes the moment at which the store allows the next load.
 * @property expectedLoadMillis duration of a load at the store's full speed.
 * @property interactiveReserveRatio fraction of the batch that deferrable requests leave free.
 * @property urgentSlotRatio fraction of the slots that deferrable requests leave to more urgent ones; at least one
 *   slot.
 * @property maxPreloadedAdapters number of adapters of deferrable requests that may be resident before the batch has
 *   room for their requests.
 * @property startRefusedPauseMillis pause of all starts after the engine refused to start a request.
 * @property deferrablePopularityWeight weight of a deferrable request in an adapter's popularity; other requests
 *   count 1.
 * @property loadPolicy which adapter is loaded next.
 * @property evictionPolicy which idle adapter is evicted first.
 */
public data class SchedulerOptions(
    public val goal: SchedulerGoal = SchedulerGoal.LOAD_STALLS,
    public val queueLimit: Int = 1_024,
    public val popularityHalfLifeMillis: Long = 900_000,
    public val loadBackoffMillis: Long = 500,
    public val maxLoadBackoffMillis: Long = 15_000,
    public val planPromotionMillis: Long = 45_000,
    public val deferrableMaxWaitMillis: Long = 3_600_000,
    public val deadlinePromotionMillis: Long = 300_000,
    public val drainAfterMillis: Long = 1_000,
    public val evictRefusedPauseMillis: Long = 2_000,
    public val evictLeadMillis: Long = 20,
    public val expectedLoadMillis: Long = 250,
    public val interactiveReserveRatio: Double = 0.125,
    public val urgentSlotRatio: Double = SchedulerDefaults.urgentSlotRatio(goal),
    public val maxPreloadedAdapters: Int = 4,
    public val startRefusedPauseMillis: Long = 50,
    public val deferrablePopularityWeight: Double = 0.5,
    public val loadPolicy: LoadPolicy = LoadPolicy.WEIGHTED,
    public val evictionPolicy: EvictionPolicy = EvictionPolicy.POPULARITY,
)
