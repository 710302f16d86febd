package io.apricotslip.rules.store

/**
 * Limits of a [StoreShare].
 *
 * @property growDelayMillis wait before a larger share counts, so that the other VMs have cut theirs meanwhile.
 * @property demandMillis how long a refused load counts as an unmet demand of this VM.
 * @property askPauseMillis shortest time between two asks for loans.
 * @property minBurst loads that a VM may save up however small its share; above 1.0, so that none is lost while a
 *   whole one waits to be taken.
 */
public data class StoreShareOptions(
    public val growDelayMillis: Long = 5_000,
    public val demandMillis: Long = 500,
    public val askPauseMillis: Long = 10,
    public val minBurst: Double = 1.5,
)
