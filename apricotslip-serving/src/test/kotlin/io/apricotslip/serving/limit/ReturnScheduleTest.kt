package io.apricotslip.serving.limit

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

/** Guards against refused callers that all return at the same time. */
class ReturnScheduleTest {
    private val schedule = ReturnSchedule()

    @Test
    fun `refused requests return one after the other at the rate at which there is room`() {
        expectThat(List(4) { schedule.nextDelayMillis(4.0, 1_000) }).containsExactly(250, 500, 750, 1_000)
        expectThat(schedule.nextDelayMillis(4.0, 1_500)).isEqualTo(750)
        expectThat(schedule.nextDelayMillis(4.0, 60_000)).isEqualTo(250)
    }

    @Test
    fun `after a pause requests come back one after the other at the rate at which they arrive`() {
        val delays = List(4) { schedule.nextDelayAfterPauseMillis(20.0, now = 1_000 + it * 10L, openAt = 2_000) }
        expectThat(delays).containsExactly(1_000, 1_040, 1_080, 1_120)
        expectThat(schedule.nextDelayAfterPauseMillis(20.0, now = 5_000, openAt = 9_000)).isEqualTo(4_000)
    }

    @Test
    fun `the delay after a pause is as long as the pause and bounded beyond it`() {
        val delays = List(500) { schedule.nextDelayAfterPauseMillis(0.0, now = 0, openAt = 60_000) }
        expectThat(delays.first()).isEqualTo(60_000)
        expectThat(delays.last()).isEqualTo(70_000)
        expectThat(delays.zipWithNext().count { (one, next) -> next - one in 1..99 }).isEqualTo(0)
    }

    @Test
    fun `a delay is bounded and stays bounded when there is no room at all`() {
        expectThat(schedule.nextDelayMillis(0.0, 0)).isEqualTo(10_000)
        repeat(100) { schedule.nextDelayMillis(1.0, 0) }
        expectThat(schedule.nextDelayMillis(1.0, 0)).isEqualTo(10_000)
    }
}
