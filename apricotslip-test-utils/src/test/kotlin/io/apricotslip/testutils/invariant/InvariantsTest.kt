package io.apricotslip.testutils.invariant

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import java.time.Duration

class InvariantsTest {
    @Nested
    inner class `given a valid history` {
        @ParameterizedTest(name = "{0}")
        @MethodSource("io.apricotslip.testutils.invariant.InvariantsTest#valid")
        fun `no violation is found`(description: String, history: String) {
            expectThat(Invariants.violations(HistoryParser.parse(history))).describedAs(description).isEmpty()
        }
    }

    @Nested
    inner class `given a history that violates an invariant` {
        @ParameterizedTest(name = "{0}: {1}")
        @MethodSource("io.apricotslip.testutils.invariant.InvariantsTest#violating")
        fun `exactly that invariant is reported`(invariant: String, description: String, history: String) {
            val found = Invariants.violations(HistoryParser.parse(history)).map { it.invariant }.distinct()
            expectThat(found).describedAs(description).containsExactly(invariant)
        }
    }

    @Nested
    inner class `given a commit at second 0 and a limit of 5 seconds` {
        private fun inForceAt(second: Int): String = "a INVOKE\n".repeat(second) + "vm-1 IN_FORCE revision=7"

        private fun lateVms(vm: String, history: String): List<String> =
            InForceInTime(7, 0, setOf(vm), Duration.ofSeconds(5)).violations(HistoryParser.parse(history)).map {
                it.subject
            }

        @Test
        fun `in force after 5 seconds is in time`() = expectThat(lateVms("vm-1", inForceAt(5))).isEmpty().let {}

        @Test
        fun `in force after 6 seconds is late`() =
            expectThat(lateVms("vm-1", inForceAt(6))).containsExactly("vm-1").let {}

        @Test
        fun `never in force is late`() = expectThat(lateVms("vm-2", inForceAt(1))).containsExactly("vm-2").let {}
    }

    @Nested
    inner class `given a server that is set to leaving at second 0` {
        private val invariant = NoNewWorkAfterLeaving("e1", 0, Duration.ofSeconds(3))

        @ParameterizedTest
        @MethodSource("io.apricotslip.testutils.invariant.InvariantsTest#serverStarts")
        fun `only a later start on that server violates the invariant`(second: Int, event: String, count: Int) {
            val history = HistoryParser.parse("a INVOKE\n".repeat(second) + event)
            expectThat(invariant.violations(history).map { it.subject }).containsExactly(List(count) { "e1" })
        }
    }

    @Nested
    inner class `given a planned stop of vm-1 at second 2` {
        @ParameterizedTest(name = "{0}")
        @MethodSource("io.apricotslip.testutils.invariant.InvariantsTest#stops")
        fun `each request in progress must be answered`(description: String, end: String, violating: List<String>) {
            val history =
                HistoryParser.parse(
                    """
                    caller INVOKE request=r1
                    vm-1 INVOKE request=r1
                    $end
                    """,
                )
            val found = PlannedStopCutsNothing("vm-1", 2_000_000_000).violations(history).map { it.subject }
            expectThat(found).describedAs(description).containsExactly(violating)
        }
    }

    companion object {
        private const val INVOKE = "caller INVOKE request=r1 adapter=a@1 text=abc\n"
        private const val COMPLETE = "caller COMPLETE request=r1 adapter=a@1 text=abc\n"
        private const val RUN = "e1 RUN server=e1 request=r1 adapter=a@1\n"
        private const val END = "e1 STREAM_END server=e1 request=r1 adapter=a@1 detail=finished\n"
        private const val RESERVATION = "caller INVOKE request=r1 key=k\n"
        private const val RESERVE = "b1 RESERVE server=b1 key=k\n"
        private const val NOT_RUN = "caller REFUSED request=r1 certainty=not_run\n"

        @JvmStatic
        fun valid(): List<Arguments> = listOf(
            arguments("nothing happened", ""),
            arguments("an answer", INVOKE + RUN + END + COMPLETE),
            arguments("an eviction after the end", INVOKE + RUN + END + "e1 EVICT server=e1 adapter=a@1\n" + COMPLETE),
            arguments(
                "an eviction of another adapter",
                INVOKE + RUN + "e1 EVICT server=e1 adapter=a@2\n" + END + COMPLETE,
            ),
            arguments(
                "a second attempt elsewhere",
                INVOKE + RUN + END + "e2 RUN server=e2 request=r1.2 adapter=a@1\n" + COMPLETE,
            ),
            arguments("refused as not run", INVOKE + NOT_RUN),
            arguments(
                "refused in mid-stream",
                "$INVOKE${RUN}caller CHUNK request=r1 text=ab\ncaller REFUSED request=r1 certainty=unknown",
            ),
            arguments("a reservation", RESERVATION + RESERVE + "caller COMPLETE request=r1 key=k"),
            arguments(
                "a retry after not run",
                "$RESERVATION${NOT_RUN}caller INVOKE request=r2 key=k\n${RESERVE}caller COMPLETE request=r2 key=k",
            ),
            arguments(
                "increasing manifest revisions",
                "vm-1 IN_FORCE revision=1\nvm-1 IN_FORCE revision=3\nvm-1 INVOKE revision=3",
            ),
            arguments(
                "an older manifest after a restart",
                "vm-1 IN_FORCE revision=3\n---\nvm-1 IN_FORCE revision=2\nvm-1 IN_FORCE revision=3",
            ),
        )

        @JvmStatic
        fun violating(): List<Arguments> = violatingAnswers() + violatingExecutions()

        private fun violatingAnswers(): List<Arguments> = listOf(
            arguments(
                "exact-adapter",
                "wrong version in the answer",
                INVOKE + "caller COMPLETE request=r1 adapter=a@2 text=abc",
            ),
            arguments(
                "exact-adapter",
                "wrong adapter in the answer",
                INVOKE + "caller COMPLETE request=r1 adapter=b@1 text=abc",
            ),
            arguments("exact-adapter", "no adapter in the answer", INVOKE + "caller COMPLETE request=r1 text=abc"),
            arguments(
                "exact-adapter",
                "wrong version on the engine",
                INVOKE + "e1 RUN server=e1 request=r1 adapter=a@2\n" + COMPLETE,
            ),
            arguments(
                "exact-adapter",
                "wrong version on a later attempt",
                INVOKE + "e1 RUN server=e1 request=r1.2 adapter=a@2\n" + COMPLETE,
            ),
            arguments("whole-answers", "never answered", INVOKE),
            arguments("whole-answers", "truncated", INVOKE + "caller COMPLETE request=r1 adapter=a@1 text=ab"),
            arguments("whole-answers", "a lost chunk", INVOKE + "caller COMPLETE request=r1 adapter=a@1 text=ac"),
            arguments(
                "whole-answers",
                "a duplicated chunk",
                INVOKE + "caller COMPLETE request=r1 adapter=a@1 text=abbc",
            ),
            arguments(
                "whole-answers",
                "text of another answer",
                INVOKE + "caller COMPLETE request=r1 adapter=a@1 text=xyz",
            ),
            arguments("whole-answers", "answered twice", INVOKE + COMPLETE + COMPLETE),
            arguments(
                "whole-answers",
                "answered and refused",
                INVOKE + COMPLETE + "caller REFUSED request=r1 certainty=unknown",
            ),
            arguments("whole-answers", "answered without a request", COMPLETE),
            arguments(
                "whole-answers",
                "text of another answer before a refusal",
                "${INVOKE}caller CHUNK request=r1 text=xy\n$NOT_RUN",
            ),
        )

        private fun violatingExecutions(): List<Arguments> = listOf(
            arguments(
                "no-eviction-in-use",
                "evicted while running",
                INVOKE + RUN + "e1 EVICT server=e1 adapter=a@1\n" + END + COMPLETE,
            ),
            arguments("no-eviction-in-use", "reported by the engine", "e1 EVICT server=e1 adapter=a@1 detail=in_use"),
            arguments(
                "no-eviction-in-use",
                "a queued stream terminated",
                "e1 STREAM_END server=e1 request=r9 adapter=a@1 detail=adapter_evicted_in_queue",
            ),
            arguments(
                "at-most-one-run",
                "on two replicas",
                "${RESERVATION}${RESERVE}b2 RESERVE server=b2 key=k\ncaller COMPLETE request=r1 key=k",
            ),
            arguments("not-run-did-not-run", "a stream ran before", INVOKE + RUN + NOT_RUN),
            arguments("not-run-did-not-run", "a stream ran after", INVOKE + NOT_RUN + RUN),
            arguments(
                "not-run-did-not-run",
                "a later attempt ran",
                INVOKE + "e1 RUN server=e1 request=r1.3 adapter=a@1\n" + NOT_RUN,
            ),
            arguments("not-run-did-not-run", "a reservation ran", RESERVATION + RESERVE + NOT_RUN),
            arguments(
                "not-run-did-not-run",
                "a reservation ran before its retry",
                "${RESERVATION}${RESERVE}${NOT_RUN}caller INVOKE request=r2 key=k\ncaller COMPLETE request=r2 key=k",
            ),
            arguments(
                "manifest-never-reverts",
                "a lower revision",
                "vm-1 IN_FORCE revision=3\nvm-1 IN_FORCE revision=2",
            ),
            arguments(
                "manifest-never-reverts",
                "the same revision twice",
                "vm-1 IN_FORCE revision=3\nvm-1 IN_FORCE revision=3",
            ),
            arguments(
                "manifest-never-reverts",
                "requests bound to an older one after a restart",
                "vm-1 INVOKE revision=3\n---\nvm-1 INVOKE revision=2",
            ),
            arguments(
                "nothing-hangs",
                "the caller timed out",
                INVOKE + "caller REFUSED request=r1 certainty=unknown detail=hang",
            ),
        )

        @JvmStatic
        fun serverStarts(): List<Arguments> = listOf(
            arguments(3, "e1 RUN server=e1 request=r1", 0),
            arguments(4, "e1 RUN server=e1 request=r1", 1),
            arguments(4, "e2 RUN server=e2 request=r1", 0),
            arguments(4, "e1 RESERVE server=e1 key=k", 1),
            arguments(4, "e1 STREAM_END server=e1 request=r1", 0),
        )

        @JvmStatic
        fun stops(): List<Arguments> = listOf(
            arguments("answered after the stop", "caller COMPLETE request=r1", emptyList<String>()),
            arguments("refused after the stop", "caller REFUSED request=r1", listOf("r1")),
            arguments("never ended", "", listOf("r1")),
        )
    }
}
