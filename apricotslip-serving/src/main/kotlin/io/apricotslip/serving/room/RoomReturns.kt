package io.apricotslip.serving.room

import io.apricotslip.serving.limit.ReturnSchedule
import io.apricotslip.serving.workspace.RequestRank

/** Tells refused requests when there is room for their rank, one after the other. */
public class RoomReturns {
    private val schedules = HashMap<RequestRank, ReturnSchedule>()

    /**
     * The delay after which a request of [rank] that is refused at [now] finds room by [budget]. For [taken]
     * milliseconds all places are needed for the requests that wait.
     */
    public fun nextDelayMillis(rank: RequestRank, budget: RoomBudget, now: Long, taken: Long = 0): Long =
        schedules.getOrPut(rank, ::ReturnSchedule).nextDelayMillis(budget.startsPerSecond(rank, now), now)
            .plus(taken).coerceAtLeast(MIN_DELAY_MILLIS)

    private companion object {
        /** A queue that has just turned a request away is still full a moment later. */
        const val MIN_DELAY_MILLIS = 250L
    }
}
