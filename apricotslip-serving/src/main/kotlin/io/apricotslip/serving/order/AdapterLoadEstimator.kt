package io.apricotslip.serving.order

import kotlin.math.max

/**
 * How long loads of adapters take, learned from those that this node ordered.
 *
 * The weight store serves a number of loads at full speed; beyond it every load takes longer in proportion, so that
 * more loads under way finish no sooner. Loads of adapters that an engine held not long ago do not use the store.
 */
public class AdapterLoadEstimator {
    private var aloneMillis = PRIOR_MILLIS

    /** Loads that the whole fleet may have under way before each takes longer. */
    public var fullSpeedLoads: Double = PRIOR_AT_FULL_SPEED
        private set

    /** Time of a load from the store while no more than [fullSpeedLoads] are under way. */
    public val storeLoadMillis: Double
        get() = aloneMillis

    /** Time of a load of an adapter that the engine held not long ago. */
    public val cachedLoadMillis: Double
        get() = aloneMillis * REPEATED_SHARE

    /**
     * Whether one more load from the store may start while [underWay] are under way in the whole fleet. More would end
     * no sooner, and the store could not be given to what becomes urgent meanwhile.
     */
    public fun hasCapacity(underWay: Int): Boolean = underWay < fullSpeedLoads

    /** Expected time of a load from the store beside [others] loads. */
    public fun expectedStoreLoadMillis(others: Int): Double = aloneMillis * max(1.0, (others + 1) / fullSpeedLoads)

    /** Learns from a load from the store that took [millis] with [underWay] loads, itself included, on average. */
    public fun recordStoreLoad(underWay: Double, millis: Long) {
        if (underWay <= fullSpeedLoads / 2) {
            aloneMillis += WEIGHT * (millis - aloneMillis)
        }
        val slowdown = millis / aloneMillis
        when {
            slowdown > SLOWED -> fullSpeedLoads += WEIGHT * (underWay / slowdown - fullSpeedLoads)
            underWay > fullSpeedLoads * PRESSED -> fullSpeedLoads += STEP
        }
        fullSpeedLoads = fullSpeedLoads.coerceAtLeast(FEWEST_AT_FULL_SPEED)
    }

    private companion object {
        /** Time of an adapter's load by the deployments' sheets. */
        const val PRIOR_MILLIS = 250.0

        /** Loads at full speed by the smallest of the deployments' sheets. */
        const val PRIOR_AT_FULL_SPEED = 8.0
        const val FEWEST_AT_FULL_SPEED = 2.0

        /** By the pages of the platform, a load from the host's memory takes a tenth. */
        const val REPEATED_SHARE = 0.1

        /** A load that takes longer by this factor was slowed by others and not by the wait for its confirmation. */
        const val SLOWED = 1.35

        /** Part of the loads at full speed that must be under way before more are tried, and how many more. */
        const val PRESSED = 0.7
        const val STEP = 0.5

        /** About the last ten loads count. */
        const val WEIGHT = 0.1
    }
}
