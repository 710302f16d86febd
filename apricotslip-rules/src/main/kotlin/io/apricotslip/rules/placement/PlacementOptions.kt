package io.apricotslip.rules.placement

/**
 * Settings of an [AdapterPlacement].
 *
 * @property candidates engines on which an adapter may be loaded, by rendezvous ranking.
 * @property loadCostMillis wait that a load is counted as, beside the loads that wait before it.
 * @property waitingLoadMillis wait that each load before it is counted as.
 * @property sentMillis how long a request that was sent counts beside a status that may not show it yet.
 * @property unknownTokensPerSecond speed of an engine before any engine's is learned.
 */
public data class PlacementOptions(
    public val candidates: Int = 3,
    public val loadCostMillis: Double = 1_000.0,
    public val waitingLoadMillis: Double = 400.0,
    public val sentMillis: Long = 1_000,
    public val unknownTokensPerSecond: Double = 400.0,
)
