package io.apricotslip.wire.link

import io.apricotslip.api.time.Ticker
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a silent link that is noticed later than its limit, and against one that is closed too early. */
class ReadIdleTimerTest {
    private class Case(
        val name: String,
        val remainingMillis: Long,
        val act: ReadIdleTimer.(pass: (Long) -> Unit) -> Unit,
    )

    private val cases = listOf(
        Case("nothing was read yet", 2_000, {}),
        Case("nothing was read for a while", 1_500, { pass -> pass(500) }),
        Case("the limit is reached", 0, { pass -> pass(2_000) }),
        Case("the limit is over", -500, { pass -> pass(2_500) }),
        Case("something was read", 1_900) { pass ->
            pass(1_500)
            recordRead()
            pass(100)
        },
        Case("this node does not read", 2_000) { pass ->
            pause()
            pass(5_000)
        },
        Case("this node reads again", 1_900) { pass ->
            pause()
            pass(5_000)
            resume()
            pass(100)
        },
    )

    @TestFactory
    fun `the time until a link counts as silent is exact`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            var millis = 0L
            val timer = ReadIdleTimer(Ticker { millis * 1_000_000 }, limitMillis = 2_000)
            case.act(timer) { millis += it }
            expectThat(timer.remainingMillis()).isEqualTo(case.remainingMillis)
            expectThat(timer.isExpired()).isEqualTo(case.remainingMillis <= 0)
        }
    }
}
