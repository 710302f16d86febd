package io.apricotslip.serving.fleet

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.Examples.entry
import io.apricotslip.serving.Examples.service
import io.apricotslip.serving.published.StorePosition
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against the use of a server that has said of itself, in its entry or in an answer, that it wants no requests. */
class AdmissionTest {
    private sealed class Step {
        /** The entry of the server is read. */
        data class Entry(val leaving: Boolean = false, val startedAtMillis: Long = 1, val era: Long = 0) : Step()

        /** An answer of the incarnation that was in use at the start, or of the one in use now. */
        data class Answer(val leaving: Boolean, val ofFirst: Boolean = false, val pauseMillis: Long? = null) : Step()

        /** The store removes the entry. */
        data object Removed : Step()

        /** The store comes back from a copy. */
        data object Restored : Step()

        /** The store is away while the entry lapses, and is back. */
        data object LapsedInOutage : Step()
    }

    private class Case(val name: String, val expected: Admission?, vararg val steps: Step)

    private val says = Step.Answer(leaving = true)

    private fun pause(millis: Long, ofFirst: Boolean = false) = Step.Answer(leaving = false, ofFirst, millis)

    private val cases = listOf(
        Case("nothing said", Admission.Open, Step.Answer(leaving = false)),
        Case("an entry that leaves", Admission.Leaving, Step.Entry(leaving = true)),
        Case("an answer that leaves", Admission.Leaving, says),
        Case("a later answer without it", Admission.Leaving, says, Step.Answer(leaving = false)),
        Case("an answer, then an entry that is ready", Admission.Leaving, says, Step.Entry()),
        Case("an answer before the entry says it", Admission.Leaving, says, Step.Entry(leaving = true)),
        Case("an answer after the entry says it", Admission.Leaving, Step.Entry(leaving = true), says),
        Case("an entry takes back what an entry said", Admission.Open, Step.Entry(leaving = true), Step.Entry()),
        Case(
            "an entry does not take back what an answer said",
            Admission.Leaving,
            says,
            Step.Entry(leaving = true),
            Step.Entry(),
        ),
        Case("a new start", Admission.Open, says, Step.Entry(startedAtMillis = 2)),
        Case(
            "an answer of the start before",
            Admission.Open,
            Step.Entry(startedAtMillis = 2),
            Step.Answer(leaving = true, ofFirst = true),
        ),
        Case("removed", null, says, Step.Removed),
        Case("removed and back", Admission.Leaving, says, Step.Removed, Step.Entry()),
        Case("removed and back twice", Admission.Leaving, says, Step.Removed, Step.Entry(), Step.Removed, Step.Entry()),
        Case("removed, then a new start", Admission.Open, says, Step.Removed, Step.Entry(startedAtMillis = 2)),
        Case(
            "an answer that arrives after the removal, and back",
            Admission.Leaving,
            Step.Removed,
            Step.Answer(leaving = true, ofFirst = true),
            Step.Entry(),
        ),
        Case("removed before it said so, and back", Admission.Open, Step.Removed, Step.Entry()),
        Case("back from a copy of the store", Admission.Leaving, says, Step.Restored, Step.Entry(era = 1)),
        Case("a pause", Admission.Paused(400), pause(500)),
        Case("a pause that is over", Admission.Open, pause(50)),
        Case("no pause", Admission.Open, pause(0)),
        Case("a shorter pause after a longer one", Admission.Paused(400), pause(500), pause(200)),
        Case("a longer pause after a shorter one", Admission.Paused(401), pause(200), pause(500)),
        Case("an answer without a pause after one", Admission.Paused(400), pause(500), Step.Answer(leaving = false)),
        Case("a pause without end", Admission.Paused(3_600_000 - 100), pause(Long.MAX_VALUE)),
        Case("a negative pause", Admission.Open, pause(-5)),
        Case("a pause of a server that leaves", Admission.Leaving, pause(500), says),
        Case("a pause, then an entry", Admission.Paused(400), pause(500), Step.Entry()),
        Case("a pause, removed and back", Admission.Paused(400), pause(500), Step.Removed, Step.Entry()),
        Case("a pause, then a new start", Admission.Open, pause(500), Step.Entry(startedAtMillis = 2)),
        Case("a pause of the start before", Admission.Open, Step.Entry(startedAtMillis = 2), pause(500, true)),
        Case("lapsed while the store was away", Admission.Leaving, says, Step.LapsedInOutage, Step.Entry()),
    )

    @TestFactory
    fun `what a server said of itself decides whether it is sent requests`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val fleet = Fleet()
            val id = BackendServerId("e1")
            var revision = 1L
            fleet.applyEntry(entry("e1"), StorePosition(0, revision), 0)
            val first = checkNotNull(fleet[id])
            case.steps.forEachIndexed { i, step ->
                val now = 100L + i
                when (step) {
                    is Step.Entry -> {
                        val entry = entry("e1", emptyList(), step.leaving, step.startedAtMillis, sequence = ++revision)
                        fleet.applyEntry(entry, StorePosition(step.era, revision), now)
                    }
                    is Step.Answer -> {
                        val server = if (step.ofFirst) first else checkNotNull(fleet[id])
                        server.announcements.record(ServerAnnouncement(step.leaving, step.pauseMillis), now)
                    }
                    Step.Removed -> fleet.applyRemoval(id, StorePosition(0, ++revision), now)
                    Step.Restored -> fleet.onStoreRestored(now)
                    Step.LapsedInOutage -> {
                        fleet.onStoreUnavailable()
                        fleet.applyRemoval(id, StorePosition(0, ++revision), now)
                        fleet.onStoreAvailable(now)
                    }
                }
            }
            val server = fleet[id]
            expectThat(server?.let { fleet.admission(it, now = 200) }).isEqualTo(case.expected)
            expectThat(fleet.usable(service, 200).size).isEqualTo(if (case.expected == Admission.Open) 1 else 0)
            if (server !== first) expectThat(fleet.admission(first, now = 200)).isEqualTo(Admission.Gone)
        }
    }
}
