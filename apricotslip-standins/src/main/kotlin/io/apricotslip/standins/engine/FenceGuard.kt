package io.apricotslip.standins.engine

import io.apricotslip.api.manifest.FenceCheck

/** Refuses orders with a fencing number lower than the highest seen, on engines that check it. */
internal class FenceGuard(private val check: FenceCheck) {
    /** The highest number seen; 0 on engines that ignore it. */
    var highest: Long = 0
        private set

    /** Whether an order with [fence] is to be obeyed. */
    fun admits(fence: Long): Boolean = when (check) {
        FenceCheck.IGNORED -> true

        FenceCheck.CHECKED -> {
            val isCurrent = fence >= highest
            highest = maxOf(highest, fence)
            isCurrent
        }
    }

    /** Forgets the numbers seen. */
    fun clear() {
        highest = 0
    }
}
