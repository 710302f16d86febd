package io.apricotslip.rules.store

/**
 * Limits of a [StoreShare].
 *
 * @property growDelayMillis wait before a larger share counts, so that the other VMs have cut theirs meanwhile.
 * @property demandMillis how long a demand counts unless it is repeated.
 * @property askPauseMillis shortest time between two asks for loans.
 * @property yieldMillis how much longer a peer's demand of the same urgency must have waited than this VM's.
 * @property savedForDemand loads that a VM with an unmet demand saves up however small its share; above 1.0, so that
 *   none is lost while a whole one waits to be taken.
 * @property reservedForInteractive loads of the whole fleet's burst that only interactive demands take.
 */
public data class StoreShareOptions(
    public val growDelayMillis: Long = 5_000,
    public val demandMillis: Long = 150,
    public val askPauseMillis: Long = 10,
    public val yieldMillis: Long = 10,
    public val savedForDemand: Double = 1.5,
    public val reservedForInteractive: Double = 1.0,
)
