package io.apricotslip.rules.placement

/**
 * Settings of an [AdapterPlacement].
 *
 * @property overloadFactor requests for each place of the batch from which an engine gets no further adapters.
 * @property backlogFactor backlog, as a part of the mean one, from which an engine is no home of deferrable work.
 * @property loadCostMillis wait that a load is counted as, beside the loads that wait before it.
 * @property waitingLoadMillis wait that each load before it is counted as.
 * @property sentMillis how long a request that was sent counts beside a status that may not show it yet.
 * @property statusAgeMillis age of what a status shows when it arrives.
 * @property jitterRatio part by which an estimated wait is lengthened at random.
 * @property speedAware whether learned speeds count; without them all engines are taken to be alike, a baseline.
 * @property unknownTokensPerSecond speed of an engine before any engine's is learned.
 */
public data class PlacementOptions(
    public val overloadFactor: Double = 1.0,
    public val backlogFactor: Double = 1.25,
    public val loadCostMillis: Double = 1_000.0,
    public val waitingLoadMillis: Double = 400.0,
    public val sentMillis: Long = 1_000,
    public val statusAgeMillis: Long = 50,
    public val jitterRatio: Double = 0.05,
    public val speedAware: Boolean = true,
    public val unknownTokensPerSecond: Double = 400.0,
)
