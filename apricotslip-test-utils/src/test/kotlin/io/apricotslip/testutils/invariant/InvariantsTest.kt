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
    inner class `given a sound history` {
        @ParameterizedTest(name = "{0}")
        @MethodSource("io.apricotslip.testutils.invariant.InvariantsTest#sound")
        fun `no invariant is broken`(what: String, history: String) {
            expectThat(Invariants.violations(PlantedHistory.of(history))).describedAs(what).isEmpty()
        }
    }

    @Nested
    inner class `given a history that breaks a invariant` {
        @ParameterizedTest(name = "{0}: {1}")
        @MethodSource("io.apricotslip.testutils.invariant.InvariantsTest#broken")
        fun `just that invariant is named`(invariant: String, what: String, history: String) {
            val found = Invariants.violations(PlantedHistory.of(history)).map { it.invariant }.distinct()
            expectThat(found).describedAs(what).containsExactly(invariant)
        }
    }

    @Nested
    inner class `given a commit at second 0 and a limit of 5 seconds` {
        private fun inForceAt(second: Int): String = "a INVOKE\n".repeat(second) + "vm-1 IN_FORCE revision=7"

        private fun names(vm: String, history: String): List<String> =
            InForceInTime(7, 0, setOf(vm), Duration.ofSeconds(5)).violations(PlantedHistory.of(history)).map {
                it.subject
            }

        @Test
        fun `in force after 5 seconds is in time`() = expectThat(names("vm-1", inForceAt(5))).isEmpty().let {}

        @Test
        fun `in force after 6 seconds is late`() = expectThat(names("vm-1", inForceAt(6))).containsExactly("vm-1").let {
        }

        @Test
        fun `never in force is late`() = expectThat(names("vm-2", inForceAt(1))).containsExactly("vm-2").let {}
    }

    @Nested
    inner class `given a server that leaves at second 0` {
        private val invariant = NoNewWorkAfterLeaving("e1", 0, Duration.ofSeconds(3))

        @ParameterizedTest
        @MethodSource("io.apricotslip.testutils.invariant.InvariantsTest#startsOnServers")
        fun `only a later start there breaks the invariant`(second: Int, event: String, count: Int) {
            val history = PlantedHistory.of("a INVOKE\n".repeat(second) + event)
            expectThat(invariant.violations(history).map { it.subject }).containsExactly(List(count) { "e1" })
        }
    }

    @Nested
    inner class `given a planned stop of vm-1 at second 2` {
        @ParameterizedTest(name = "{0}")
        @MethodSource("io.apricotslip.testutils.invariant.InvariantsTest#stops")
        fun `each request under way must be answered`(what: String, end: String, cut: List<String>) {
            val history =
                PlantedHistory.of(
                    """
                    caller INVOKE request=r1
                    vm-1 INVOKE request=r1
                    $end
                    """,
                )
            val found = PlannedStopCutsNothing("vm-1", 2_000_000_000).violations(history).map { it.subject }
            expectThat(found).describedAs(what).containsExactly(cut)
        }
    }

    companion object {
        private const val ASK = "caller INVOKE request=r1 adapter=a@1 text=abc\n"
        private const val RIGHT = "caller COMPLETE request=r1 adapter=a@1 text=abc\n"
        private const val RUN = "e1 RUN server=e1 request=r1 adapter=a@1\n"
        private const val END = "e1 STREAM_END server=e1 request=r1 adapter=a@1 detail=finished\n"
        private const val BOOK = "caller INVOKE request=r1 key=k\n"
        private const val RESERVE = "b1 RESERVE server=b1 key=k\n"
        private const val NOT_RUN = "caller REFUSED request=r1 certainty=not_run\n"

        @JvmStatic
        fun sound(): List<Arguments> = listOf(
            arguments("nothing happened", ""),
            arguments("an answer", ASK + RUN + END + RIGHT),
            arguments("an evict after the end", ASK + RUN + END + "e1 EVICT server=e1 adapter=a@1\n" + RIGHT),
            arguments("an evict of another adapter", ASK + RUN + "e1 EVICT server=e1 adapter=a@2\n" + END + RIGHT),
            arguments(
                "a second attempt elsewhere",
                ASK + RUN + END + "e2 RUN server=e2 request=r1.2 adapter=a@1\n" + RIGHT,
            ),
            arguments("refused as not run", ASK + NOT_RUN),
            arguments(
                "refused in mid-stream",
                "$ASK${RUN}caller CHUNK request=r1 text=ab\ncaller REFUSED request=r1 certainty=unknown",
            ),
            arguments("a reservation", BOOK + RESERVE + "caller COMPLETE request=r1 key=k"),
            arguments(
                "a repeat after not run",
                "$BOOK${NOT_RUN}caller INVOKE request=r2 key=k\n${RESERVE}caller COMPLETE request=r2 key=k",
            ),
            arguments(
                "manifests that grow",
                "vm-1 IN_FORCE revision=1\nvm-1 IN_FORCE revision=3\nvm-1 INVOKE revision=3",
            ),
            arguments(
                "an older manifest in a new life",
                "vm-1 IN_FORCE revision=3\n---\nvm-1 IN_FORCE revision=2\nvm-1 IN_FORCE revision=3",
            ),
        )

        @JvmStatic
        fun broken(): List<Arguments> = brokenAnswers() + brokenRuns()

        private fun brokenAnswers(): List<Arguments> = listOf(
            arguments(
                "exact-adapter",
                "wrong version in the answer",
                ASK + "caller COMPLETE request=r1 adapter=a@2 text=abc",
            ),
            arguments(
                "exact-adapter",
                "wrong adapter in the answer",
                ASK + "caller COMPLETE request=r1 adapter=b@1 text=abc",
            ),
            arguments("exact-adapter", "no adapter in the answer", ASK + "caller COMPLETE request=r1 text=abc"),
            arguments(
                "exact-adapter",
                "wrong version on the engine",
                ASK + "e1 RUN server=e1 request=r1 adapter=a@2\n" + RIGHT,
            ),
            arguments(
                "exact-adapter",
                "wrong version on a later attempt",
                ASK + "e1 RUN server=e1 request=r1.2 adapter=a@2\n" + RIGHT,
            ),
            arguments("whole-answers", "lost", ASK),
            arguments("whole-answers", "cut", ASK + "caller COMPLETE request=r1 adapter=a@1 text=ab"),
            arguments("whole-answers", "a piece lost", ASK + "caller COMPLETE request=r1 adapter=a@1 text=ac"),
            arguments("whole-answers", "a piece doubled", ASK + "caller COMPLETE request=r1 adapter=a@1 text=abbc"),
            arguments("whole-answers", "crossed", ASK + "caller COMPLETE request=r1 adapter=a@1 text=xyz"),
            arguments("whole-answers", "answered twice", ASK + RIGHT + RIGHT),
            arguments(
                "whole-answers",
                "answered and refused",
                ASK + RIGHT + "caller REFUSED request=r1 certainty=unknown",
            ),
            arguments("whole-answers", "never asked", RIGHT),
            arguments("whole-answers", "crossed before a refusal", "${ASK}caller CHUNK request=r1 text=xy\n$NOT_RUN"),
        )

        private fun brokenRuns(): List<Arguments> = listOf(
            arguments(
                "no-eviction-in-use",
                "evicted while running",
                ASK + RUN + "e1 EVICT server=e1 adapter=a@1\n" + END + RIGHT,
            ),
            arguments("no-eviction-in-use", "the engine says so", "e1 EVICT server=e1 adapter=a@1 detail=in_use"),
            arguments(
                "no-eviction-in-use",
                "a stream in the queue",
                "e1 STREAM_END server=e1 request=r9 adapter=a@1 detail=adapter_evicted_in_queue",
            ),
            arguments(
                "at-most-one-run",
                "on two replicas",
                "${BOOK}${RESERVE}b2 RESERVE server=b2 key=k\ncaller COMPLETE request=r1 key=k",
            ),
            arguments("not-run-did-not-run", "a stream ran before", ASK + RUN + NOT_RUN),
            arguments("not-run-did-not-run", "a stream ran after", ASK + NOT_RUN + RUN),
            arguments(
                "not-run-did-not-run",
                "a later attempt ran",
                ASK + "e1 RUN server=e1 request=r1.3 adapter=a@1\n" + NOT_RUN,
            ),
            arguments("not-run-did-not-run", "a reservation ran", BOOK + RESERVE + NOT_RUN),
            arguments(
                "not-run-did-not-run",
                "a reservation ran before its repeat",
                "${BOOK}${RESERVE}${NOT_RUN}caller INVOKE request=r2 key=k\ncaller COMPLETE request=r2 key=k",
            ),
            arguments("manifest-never-reverts", "a fall", "vm-1 IN_FORCE revision=3\nvm-1 IN_FORCE revision=2"),
            arguments("manifest-never-reverts", "the same again", "vm-1 IN_FORCE revision=3\nvm-1 IN_FORCE revision=3"),
            arguments(
                "manifest-never-reverts",
                "requests bound to an older one after a restart",
                "vm-1 INVOKE revision=3\n---\nvm-1 INVOKE revision=2",
            ),
            arguments(
                "nothing-hangs",
                "the caller gave up",
                ASK + "caller REFUSED request=r1 certainty=unknown detail=hang",
            ),
        )

        @JvmStatic
        fun startsOnServers(): List<Arguments> = listOf(
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
