package io.apricotslip.rules.placement

/**
 * Options of an [AdapterPlacement].
 *
 * @property overloadFactor requests per slot of the batch at which an engine is assigned no further adapters.
 * @property backlogFactor multiple of the mean backlog above which an engine is not preferred for deferrable requests.
 * @property loadCostMillis estimated wait for a load, not counting the loads that are queued before it.
 * @property queuedLoadCostMillis estimated wait for each load that is queued before it.
 * @property sentRequestTtlMillis how long a sent request is counted in addition to a status that may not include it.
 * @property statusAgeMillis age of the data of a status when it arrives.
 * @property jitterRatio maximum fraction by which an estimated wait is lengthened at random.
 * @property speedAware whether the reported engine speeds are used; without them all engines are assumed to be equally
 *   fast, a baseline for comparisons.
 * @property defaultTokensPerSecond speed of an engine in tokens per second until any engine has reported one.
 */
public data class PlacementOptions(
    public val overloadFactor: Double = 1.0,
    public val backlogFactor: Double = 1.25,
    public val loadCostMillis: Double = 1_000.0,
    public val queuedLoadCostMillis: Double = 400.0,
    public val sentRequestTtlMillis: Long = 1_000,
    public val statusAgeMillis: Long = 50,
    public val jitterRatio: Double = 0.05,
    public val speedAware: Boolean = true,
    public val defaultTokensPerSecond: Double = 400.0,
)
