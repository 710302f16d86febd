package io.apricotslip.standins.platform

import io.apricotslip.standins.VirtualLoop
import io.apricotslip.standins.config.CallCounter
import io.apricotslip.standins.config.CallCounts
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration

class PublicationTest {
    private val time = VirtualLoop()
    private val publication = Publication(time.loop)

    private fun value(revision: Long) = PublishedValue(revision, "value $revision")

    private fun found(revision: Long) = ReadResult.Found(value(revision))

    private fun watch(after: Long, waitMillis: Long = 1_000) =
        time.watch(publication.watch(after, Duration.ofMillis(waitMillis)))

    @Nested
    inner class `given a lag` {
        @Test
        fun `a value becomes visible after the lag and not before`() {
            publication.publish(value(1))
            publication.publish(value(2), Duration.ofMillis(100))
            val watch = watch(after = 1)
            time.advance(99)
            expectThat(publication.read()).isEqualTo(found(1))
            time.advance(1)
            expectThat(publication.read()).isEqualTo(found(2))
            expectThat(watch.atMillis).isEqualTo(100)
        }
    }

    @Nested
    inner class `given a watch` {
        @Test
        fun `it ends unchanged at its timeout`() {
            publication.publish(value(5))
            val watch = watch(after = 5)
            time.advance(1_000)
            expectThat(watch.value).isEqualTo(ReadResult.Unchanged)
        }

        @Test
        fun `it ends absent if there is no value`() {
            val watch = watch(after = 0)
            time.advance(1_000)
            expectThat(watch.value).isEqualTo(ReadResult.Absent)
        }

        @Test
        fun `a value committed out of order does not complete it, but is visible to reads`() {
            publication.publish(value(5))
            val watch = watch(after = 5)
            publication.publish(value(4))
            expectThat(watch.value).isNull()
            expectThat(publication.read()).isEqualTo(found(4))
        }
    }

    @Nested
    inner class `given a stale service` {
        @Test
        fun `reads and watches see the old value until the service is no longer stale`() {
            publication.publish(value(1))
            publication.setStale(true)
            publication.publish(value(2))
            val watch = watch(after = 1, waitMillis = 5_000)
            time.advance(4_000)
            expectThat(publication.read()).isEqualTo(found(1))
            expectThat(watch.value).isNull()
            publication.setStale(false)
            expectThat(watch.value).isEqualTo(found(2))
            expectThat(publication.newest).isEqualTo(value(2))
        }
    }

    @Nested
    inner class `given a limit of calls per second` {
        @Test
        fun `calls that exceed it are refused until the next second, and a watch counts once`() {
            val calls = CallCounter(maxCallsPerSecond = 2)
            val second = 1_000_000_000L
            val admitted = listOf(0L, 1L, 2L, second, second + 1).map { calls.admit(it, isWatch = it == 1L) }
            expectThat(admitted).isEqualTo(listOf(true, true, false, true, true))
            expectThat(calls.counts()).isEqualTo(CallCounts(total = 5, refused = 1, watches = 1, maxPerSecond = 3))
        }
    }
}
