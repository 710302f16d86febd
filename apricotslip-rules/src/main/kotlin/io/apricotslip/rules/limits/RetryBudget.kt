package io.apricotslip.rules.limits

import kotlin.math.min

/**
 * Retry budget: allows retries as a fraction of first attempts, so that retries never multiply the traffic.
 *
 * @param ratio retries allowed per request.
 * @param maxSavedRetries maximum number of unused retries that are saved up; also the initial budget.
 */
public class RetryBudget(private val ratio: Double, private val maxSavedRetries: Double = 10.0) {
    private var availableRetries = maxSavedRetries

    /** Records the first attempt of a request. */
    public fun recordRequest() {
        availableRetries = min(maxSavedRetries, availableRetries + ratio)
    }

    /** Takes one retry from the budget; returns false when none is left. */
    public fun tryAcquire(): Boolean {
        if (availableRetries < 1 - ROUNDING_TOLERANCE) return false
        availableRetries -= 1
        return true
    }

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-9
    }
}
