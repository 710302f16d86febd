package io.apricotslip.serving.order

import kotlin.math.max

/**
 * Estimates how long adapter loads take, from the loads that this node ordered.
 *
 * The weight store serves a number of loads at full speed. Beyond that number every load takes longer in proportion, so
 * that more loads in flight finish no sooner. An engine loads adapters that it held recently without the store.
 */
public class AdapterLoadEstimator {
    private var uncontendedMillis = INITIAL_LOAD_MILLIS

    /** Store loads that the whole fleet may have in flight before each of them takes longer. */
    public var fullSpeedLoads: Double = INITIAL_FULL_SPEED_LOADS
        private set

    /** Time of a load from the store while no more than [fullSpeedLoads] are in flight. */
    public val storeLoadMillis: Double
        get() = uncontendedMillis

    /** Time of a load of an adapter that the engine held recently and still caches in host memory. */
    public val cachedLoadMillis: Double
        get() = uncontendedMillis * CACHED_LOAD_RATIO

    /**
     * Whether one more load from the store may start while [inFlight] are in flight in the whole fleet. Further loads
     * would finish no sooner, and would keep the store from loads that become urgent meanwhile.
     */
    public fun hasCapacity(inFlight: Int): Boolean = inFlight < fullSpeedLoads

    /** Expected time of a load from the store while [otherLoads] others are in flight. */
    public fun expectedStoreLoadMillis(otherLoads: Int): Double =
        uncontendedMillis * max(1.0, (otherLoads + 1) / fullSpeedLoads)

    /** Records a load from the store that took [millis] with a mean of [inFlight] loads in flight, itself included. */
    public fun recordStoreLoad(inFlight: Double, millis: Long) {
        if (inFlight <= fullSpeedLoads / 2) {
            uncontendedMillis += SMOOTHING_FACTOR * (millis - uncontendedMillis)
        }
        val slowdown = millis / uncontendedMillis
        when {
            slowdown > CONTENTION_SLOWDOWN ->
                fullSpeedLoads += SMOOTHING_FACTOR * (inFlight / slowdown - fullSpeedLoads)
            inFlight > fullSpeedLoads * PROBE_THRESHOLD -> fullSpeedLoads += PROBE_STEP_LOADS
        }
        fullSpeedLoads = fullSpeedLoads.coerceAtLeast(MIN_FULL_SPEED_LOADS)
    }

    private companion object {
        /** Load time of an adapter per the deployment profiles. */
        const val INITIAL_LOAD_MILLIS = 250.0

        /** Loads at full speed in the smallest deployment profile. */
        const val INITIAL_FULL_SPEED_LOADS = 8.0
        const val MIN_FULL_SPEED_LOADS = 2.0

        /** Per the platform's specification, a load from host memory takes a tenth of the time. */
        const val CACHED_LOAD_RATIO = 0.1

        /** A load slower by this factor was slowed by other loads, not by the delay of its confirmation. */
        const val CONTENTION_SLOWDOWN = 1.35

        /** Share of [fullSpeedLoads] that must be in flight, without slowdown, before the estimate is raised. */
        const val PROBE_THRESHOLD = 0.7

        /** By how many loads the estimate is raised. */
        const val PROBE_STEP_LOADS = 0.5

        /** Averages over about the last ten loads. */
        const val SMOOTHING_FACTOR = 0.1
    }
}
