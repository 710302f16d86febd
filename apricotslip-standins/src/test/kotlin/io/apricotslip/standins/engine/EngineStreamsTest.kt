package io.apricotslip.standins.engine

import io.apricotslip.api.history.EventKind
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import org.reactivestreams.Subscription
import reactor.core.Scannable
import reactor.core.publisher.BaseSubscriber
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.last
import java.time.Duration

/**
 * Completion streams of an engine: resuming, detaching, cancellation, batching, speed and the prefix cache. Guards
 * against streams that lose or repeat tokens when a reader reconnects, that buffer tokens for a slow reader, or that
 * outlive their readers.
 */
class EngineStreamsTest {
    private val harness = EngineHarness().also { it.loadAll(a1) }

    private fun expectedEvents(id: String, tokens: Int): List<String> {
        val text = AnswerText.fullText(a1, "prompt of $id", tokens).trim().split(" ")
        val events = text.mapIndexed { offset, token ->
            """{"id":"$id","offset":$offset,"text":"$token ","adapter":"a","version":"v1"}"""
        }
        return events + """{"id":"$id","finish":"stop","total":$tokens,"adapter":"a","version":"v1"}""" + "[DONE]"
    }

    @Nested
    inner class `given a running stream` {
        @Test
        fun `the answer is complete and a pure function of the request`() {
            harness.start("r1", tokens = 5)
            val events = harness.read("r1")
            harness.time.advance(50)
            expectThat(events).isEqualTo(expectedEvents("r1", 5))
        }

        @ParameterizedTest
        @ValueSource(ints = [0, 1, 2, 3, 4, 5])
        fun `it resumes from any offset while running and after it has finished`(from: Int) {
            harness.start("r1", tokens = 5)
            harness.time.advance(20)
            val during = harness.read("r1", from)
            harness.time.advance(50)
            expectThat(during).isEqualTo(expectedEvents("r1", 5).drop(from))
            expectThat(harness.read("r1", from)).isEqualTo(expectedEvents("r1", 5).drop(from))
        }

        @Test
        fun `a request with the same ID is refused, even after the first has finished`() {
            harness.start("r1", tokens = 1)
            expectThat(harness.start("r1")).isEqualTo(refused(StartAnswer.Reason.DUPLICATE_REQUEST))
            harness.time.advance(10)
            expectThat(harness.start("r1")).isEqualTo(refused(StartAnswer.Reason.DUPLICATE_REQUEST))
        }

        @Test
        fun `it is removed after the retention time of finished streams`() {
            harness.start("r1", tokens = 1)
            harness.time.advance(10 + plainSettings.retainMillis)
            expectThat(harness.engine.stream("r1")).isNull()
        }

        @Test
        fun `a slow reader receives what it requests, and nothing is buffered for it`() {
            harness.start("r1", tokens = 1_000)
            val reader = SlowReader()
            harness.engine.stream("r1")!!.read(0).subscribe(reader)
            reader.request(3)
            harness.time.advance(10_000)
            expectThat(reader.received to reader.buffered).isEqualTo(3 to 0)
            reader.request(Long.MAX_VALUE)
            harness.time.advance(0)
            expectThat(reader.received).isEqualTo(1_002)
        }
    }

    @Nested
    inner class `given a reader that disconnects` {
        @Test
        fun `the stream runs until the reconnect time expires`() {
            harness.start("r1", tokens = 100_000)
            val reader = harness.engine.stream("r1")!!.read(0).subscribe()
            harness.time.advance(100)
            reader.dispose()
            harness.time.advance(plainSettings.detachMillis - 1)
            expectThat(harness.engine.stream("r1")!!.phase).isEqualTo(StreamPhase.RUNNING)
            harness.time.advance(1)
            expectThat(harness.engine.stream("r1")!!.endCause).isEqualTo(EndCause.DETACHED)
        }

        @Test
        fun `reconnecting keeps the stream running, and the next disconnect restarts the reconnect time`() {
            harness.start("r1", tokens = 100_000)
            harness.engine.stream("r1")!!.read(0).subscribe().also { harness.time.advance(10) }.dispose()
            harness.time.advance(plainSettings.detachMillis / 2)
            harness.engine.stream("r1")!!.read(0).subscribe().also { harness.time.advance(10) }.dispose()
            harness.time.advance(plainSettings.detachMillis - 1)
            expectThat(harness.engine.stream("r1")!!.phase).isEqualTo(StreamPhase.RUNNING)
        }
    }

    @Nested
    inner class `given a cancellation` {
        @Test
        fun `the stream ends, leaves the batch and notifies its readers`() {
            harness.start("r1", tokens = 100)
            val events = harness.read("r1")
            harness.time.advance(20)
            harness.engine.cancel("r1")
            harness.time.advance(0)
            expectThat(events).last().isEqualTo("""{"id":"r1","error":"cancelled"}""")
            expectThat(harness.engine.state().report) {
                get { running }.isEqualTo(0)
                get { adapters.single().running }.isEqualTo(0)
            }
        }
    }

    @Nested
    inner class `given a stream that breaks before the offset that a reader requested` {
        @Test
        fun `the reader receives the error event`() {
            harness.start("r1", tokens = 100)
            val events = harness.read("r1", from = 50)
            harness.engine.cancel("r1")
            harness.time.advance(0)
            expectThat(events).isEqualTo(listOf("""{"id":"r1","error":"cancelled"}"""))
        }
    }

    @Nested
    inner class `given a full batch` {
        @Test
        fun `the queue is bounded`() {
            repeat(4) { expectThat(harness.start("r$it")).isA<StartAnswer.Accepted>() }
            expectThat(harness.start("r4")).isEqualTo(refused(StartAnswer.Reason.FULL))
        }

        @Test
        fun `waiting requests run by priority, those of equal priority in order of arrival`() {
            val harness = EngineHarness(plainSettings.copy(batch = 1, queue = 8)).also { it.loadAll(a1) }
            harness.start("first", tokens = 2)
            listOf("late" to 2, "plan-1" to 1, "plan-2" to 1, "urgent" to 0).forEach { (id, priority) ->
                harness.start(id, tokens = 1, priority = priority)
            }
            harness.time.advance(100)
            val runs = harness.history.filter { it.kind == EventKind.RUN }.map { it.request }
            expectThat(runs).isEqualTo(listOf("first", "urgent", "plan-1", "plan-2", "late"))
        }

        @Test
        fun `a queued request counts as an active request on its adapter`() {
            repeat(3) { harness.start("r$it") }
            expectThat(harness.engine.state().report.adapters.single().running).isEqualTo(3)
        }
    }

    @Nested
    inner class `given a speed` {
        @ParameterizedTest
        @CsvSource("1, 12", "4, 18")
        fun `the step time grows with the batch size`(requests: Int, stepMillis: Long) {
            val speed = plainSpeed.copy(stepMillisPerRequest = 2.0)
            val harness = EngineHarness(plainSettings.copy(batch = 4, speed = speed)).also { it.loadAll(a1) }
            repeat(requests) { harness.start("r$it", tokens = 1_000) }
            harness.time.advance(12)
            val before = harness.engine.stream("r0")!!.generatedTokens
            harness.time.advance(10 * stepMillis)
            expectThat(harness.engine.stream("r0")!!.generatedTokens - before).isEqualTo(10)
        }

        @Test
        fun `a cached prefix shortens the prefill, and a cold engine lengthens it`() {
            val speed = plainSpeed.copy(prefillMillisPerThousandChars = 1_000.0, coldRequests = 1, coldMillis = 50.0)
            val harness = EngineHarness(plainSettings.copy(speed = speed)).also { it.loadAll(a1) }
            val prompt = "x".repeat(128)
            val millis = listOf("cold", "warm").map { id ->
                harness.engine.start(CompletionBody(id, "a@v1", prompt, maxTokens = 1), a1)
                (1..1_000).first {
                    harness.time.advance(1)
                    harness.engine.stream(id)!!.isComplete
                }
            }
            expectThat(millis).isEqualTo(listOf(10 + 128 + 50, 10))
        }
    }

    @Nested
    inner class `given a limited prefix cache` {
        @Test
        fun `events are published with a lag and their numbers have gaps`() {
            val cache = plainSettings.cache.copy(blocks = 2, eventLagMillis = 500, eventLossRatio = 0.5)
            val harness = EngineHarness(plainSettings.copy(cache = cache)).also { it.loadAll(a1) }
            repeat(20) { i ->
                harness.engine.start(CompletionBody("r$i", "a@v1", "$i".repeat(64), maxTokens = 1), a1)
                harness.time.advance(10)
            }
            expectThat(harness.engine.cacheEvents(0).events).isEqualTo(emptyList())
            harness.time.advance(500)
            val events = harness.engine.cacheEvents(0).events
            expectThat(events.map { it.kind }.toSet()).contains(CacheEventKind.REMOVED)
            expectThat(events.zipWithNext().any { (x, y) -> y.number > x.number + 1 }).isEqualTo(true)
        }
    }

    @Nested
    inner class `given a frozen event loop` {
        @Test
        fun `no step runs until the freeze ends`() {
            harness.start("r1", tokens = 100)
            harness.time.advance(20)
            harness.time.loop.freeze(Duration.ofMillis(500))
            harness.time.advance(499)
            expectThat(harness.engine.stream("r1")!!.generatedTokens).isEqualTo(2)
            harness.time.advance(11)
            expectThat(harness.engine.stream("r1")!!.generatedTokens).isEqualTo(4)
        }
    }
}

/** Requests nothing on subscription, and exposes how many items the source buffers for it. */
private class SlowReader : BaseSubscriber<String>() {
    var received = 0
    val buffered get() = Scannable.from(upstream()).scan(Scannable.Attr.BUFFERED)

    override fun hookOnSubscribe(subscription: Subscription) = Unit

    override fun hookOnNext(value: String) {
        received++
    }
}
