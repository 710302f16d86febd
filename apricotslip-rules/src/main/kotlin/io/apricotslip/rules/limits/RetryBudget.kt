package io.apricotslip.rules.limits

import kotlin.math.min

/**
 * Allows retries as a part of first tries, so that retries never multiply load.
 *
 * @param ratio retries allowed for each request sent.
 * @param reserve retries that may be saved up; also allowed at start.
 */
public class RetryBudget(private val ratio: Double, private val reserve: Double = 10.0) {
    private var retries = reserve

    /** A first try was sent. */
    public fun recordRequest() {
        retries = min(reserve, retries + ratio)
    }

    /** Takes one retry if there is one. */
    public fun tryAcquire(): Boolean {
        if (retries < 1 - ROUNDING) return false
        retries -= 1
        return true
    }

    private companion object {
        const val ROUNDING = 1e-9
    }
}
