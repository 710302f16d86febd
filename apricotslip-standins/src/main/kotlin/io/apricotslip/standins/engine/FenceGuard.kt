package io.apricotslip.standins.engine

import io.apricotslip.api.manifest.FenceCheck

/** On engines that check fencing numbers, refuses orders with a number lower than the highest seen. */
internal class FenceGuard(private val check: FenceCheck) {
    /** The highest number seen; 0 on engines that ignore fencing numbers. */
    var highest: Long = 0
        private set

    /** Returns whether an order with [fence] is to be executed; with the check on, records the number. */
    fun accepts(fence: Long): Boolean = when (check) {
        FenceCheck.IGNORED -> true

        FenceCheck.CHECKED -> {
            val isCurrent = fence >= highest
            highest = maxOf(highest, fence)
            isCurrent
        }
    }

    /** Resets the highest number seen. */
    fun clear() {
        highest = 0
    }
}
