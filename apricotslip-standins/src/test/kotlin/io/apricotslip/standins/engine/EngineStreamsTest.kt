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

class EngineStreamsTest {
    private val e = VirtualEngine().also { it.resident(a1) }

    private fun whole(id: String, tokens: Int): List<String> {
        val text = AnswerText.fullText(a1, "prompt of $id", tokens).trim().split(" ")
        val events = text.mapIndexed { k, t ->
            """{"id":"$id","offset":$k,"text":"$t ","adapter":"a","version":"v1"}"""
        }
        return events + """{"id":"$id","finish":"stop","total":$tokens,"adapter":"a","version":"v1"}""" + "[DONE]"
    }

    @Nested
    inner class `given a running stream` {
        @Test
        fun `the answer is whole and the same function of the request`() {
            e.start("r1", tokens = 5)
            val events = e.read("r1")
            e.time.advance(50)
            expectThat(events).isEqualTo(whole("r1", 5))
        }

        @ParameterizedTest
        @ValueSource(ints = [0, 1, 2, 3, 4, 5])
        fun `it resumes from each offset while it runs and when it is finished`(from: Int) {
            e.start("r1", tokens = 5)
            e.time.advance(20)
            val during = e.read("r1", from)
            e.time.advance(50)
            expectThat(during).isEqualTo(whole("r1", 5).drop(from))
            expectThat(e.read("r1", from)).isEqualTo(whole("r1", 5).drop(from))
        }

        @Test
        fun `its name is not taken twice, also when it is finished`() {
            e.start("r1", tokens = 1)
            expectThat(e.start("r1")).isEqualTo(refused(StartAnswer.Reason.DUPLICATE_REQUEST))
            e.time.advance(10)
            expectThat(e.start("r1")).isEqualTo(refused(StartAnswer.Reason.DUPLICATE_REQUEST))
        }

        @Test
        fun `it is forgotten after the time that finished ones are kept`() {
            e.start("r1", tokens = 1)
            e.time.advance(10 + plainSettings.retainMillis)
            expectThat(e.engine.stream("r1")).isNull()
        }

        @Test
        fun `a slow reader takes what it asks for, and nothing is kept for it`() {
            e.start("r1", tokens = 1_000)
            val reader = SlowReader()
            e.engine.stream("r1")!!.read(0).subscribe(reader)
            reader.request(3)
            e.time.advance(10_000)
            expectThat(reader.taken to reader.kept).isEqualTo(3 to 0)
            reader.request(Long.MAX_VALUE)
            e.time.advance(0)
            expectThat(reader.taken).isEqualTo(1_002)
        }
    }

    @Nested
    inner class `given a reader that goes away` {
        @Test
        fun `the stream runs on until the time to come back is over`() {
            e.start("r1", tokens = 100_000)
            val reader = e.engine.stream("r1")!!.read(0).subscribe()
            e.time.advance(100)
            reader.dispose()
            e.time.advance(plainSettings.detachMillis - 1)
            expectThat(e.engine.stream("r1")!!.phase).isEqualTo(StreamPhase.RUNNING)
            e.time.advance(1)
            expectThat(e.engine.stream("r1")!!.cause).isEqualTo(EndCause.DETACHED)
        }

        @Test
        fun `one that comes back keeps it running, and leaving again starts the time anew`() {
            e.start("r1", tokens = 100_000)
            e.engine.stream("r1")!!.read(0).subscribe().also { e.time.advance(10) }.dispose()
            e.time.advance(plainSettings.detachMillis / 2)
            e.engine.stream("r1")!!.read(0).subscribe().also { e.time.advance(10) }.dispose()
            e.time.advance(plainSettings.detachMillis - 1)
            expectThat(e.engine.stream("r1")!!.phase).isEqualTo(StreamPhase.RUNNING)
        }
    }

    @Nested
    inner class `given a cancel` {
        @Test
        fun `the stream ends, its place in the batch is free and readers hear it`() {
            e.start("r1", tokens = 100)
            val events = e.read("r1")
            e.time.advance(20)
            e.engine.cancel("r1")
            e.time.advance(0)
            expectThat(events).last().isEqualTo("""{"id":"r1","error":"cancelled"}""")
            expectThat(e.engine.state().report) {
                get { running }.isEqualTo(0)
                get { adapters.single().running }.isEqualTo(0)
            }
        }
    }

    @Nested
    inner class `given a stream that breaks before the offset that a reader asked for` {
        @Test
        fun `the reader hears of it`() {
            e.start("r1", tokens = 100)
            val events = e.read("r1", from = 50)
            e.engine.cancel("r1")
            e.time.advance(0)
            expectThat(events).isEqualTo(listOf("""{"id":"r1","error":"cancelled"}"""))
        }
    }

    @Nested
    inner class `given a full batch` {
        @Test
        fun `the queue is bounded`() {
            repeat(4) { expectThat(e.start("r$it")).isA<StartAnswer.Accepted>() }
            expectThat(e.start("r4")).isEqualTo(refused(StartAnswer.Reason.FULL))
        }

        @Test
        fun `the most urgent waiting request runs first, equals in the order of arrival`() {
            val e = VirtualEngine(plainSettings.copy(batch = 1, queue = 8)).also { it.resident(a1) }
            e.start("first", tokens = 2)
            listOf("late" to 2, "plan-1" to 1, "plan-2" to 1, "urgent" to 0).forEach { (id, priority) ->
                e.start(id, tokens = 1, priority = priority)
            }
            e.time.advance(100)
            val runs = e.history.filter { it.kind == EventKind.RUN }.map { it.request }
            expectThat(runs).isEqualTo(listOf("first", "urgent", "plan-1", "plan-2", "late"))
        }

        @Test
        fun `a queued request counts as use of its adapter`() {
            repeat(3) { e.start("r$it") }
            expectThat(e.engine.state().report.adapters.single().running).isEqualTo(3)
        }
    }

    @Nested
    inner class `given a speed` {
        @ParameterizedTest
        @CsvSource("1, 12", "4, 18")
        fun `a step grows with the batch`(requests: Int, stepMillis: Long) {
            val speed = plainSpeed.copy(stepMillisPerRequest = 2.0)
            val e = VirtualEngine(plainSettings.copy(batch = 4, speed = speed)).also { it.resident(a1) }
            repeat(requests) { e.start("r$it", tokens = 1_000) }
            e.time.advance(12)
            val before = e.engine.stream("r0")!!.produced
            e.time.advance(10 * stepMillis)
            expectThat(e.engine.stream("r0")!!.produced - before).isEqualTo(10)
        }

        @Test
        fun `a cached prefix shortens the prefill, and a cold engine lengthens it`() {
            val speed = plainSpeed.copy(prefillMillisPerThousandChars = 1_000.0, coldRequests = 1, coldMillis = 50.0)
            val e = VirtualEngine(plainSettings.copy(speed = speed)).also { it.resident(a1) }
            val prompt = "x".repeat(128)
            val millis = listOf("cold", "warm").map { id ->
                e.engine.start(CompletionBody(id, "a@v1", prompt, maxTokens = 1), a1)
                (1..1_000).first {
                    e.time.advance(1)
                    e.engine.stream(id)!!.isWhole
                }
            }
            expectThat(millis).isEqualTo(listOf(10 + 128 + 50, 10))
        }
    }

    @Nested
    inner class `given a limited prefix cache` {
        @Test
        fun `events come late and their numbers have gaps`() {
            val cache = plainSettings.cache.copy(blocks = 2, eventLagMillis = 500, eventLossRatio = 0.5)
            val e = VirtualEngine(plainSettings.copy(cache = cache)).also { it.resident(a1) }
            repeat(20) { i ->
                e.engine.start(CompletionBody("r$i", "a@v1", "$i".repeat(64), maxTokens = 1), a1)
                e.time.advance(10)
            }
            expectThat(e.engine.cacheEvents(0).events).isEqualTo(emptyList())
            e.time.advance(500)
            val events = e.engine.cacheEvents(0).events
            expectThat(events.map { it.kind }.toSet()).contains(CacheEventKind.REMOVED)
            expectThat(events.zipWithNext().any { (x, y) -> y.number > x.number + 1 }).isEqualTo(true)
        }
    }

    @Nested
    inner class `given a frozen loop` {
        @Test
        fun `nothing goes on until it thaws`() {
            e.start("r1", tokens = 100)
            e.time.advance(20)
            e.time.loop.freeze(Duration.ofMillis(500))
            e.time.advance(499)
            expectThat(e.engine.stream("r1")!!.produced).isEqualTo(2)
            e.time.advance(11)
            expectThat(e.engine.stream("r1")!!.produced).isEqualTo(4)
        }
    }
}

/** Asks for nothing by itself and sees what the source keeps for it. */
private class SlowReader : BaseSubscriber<String>() {
    var taken = 0
    val kept get() = Scannable.from(upstream()).scan(Scannable.Attr.BUFFERED)

    override fun hookOnSubscribe(subscription: Subscription) = Unit

    override fun hookOnNext(value: String) {
        taken++
    }
}
