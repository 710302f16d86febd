package io.apricotslip.serving.crash

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.PromptPartId
import io.apricotslip.api.id.RequestTrait
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.peer.CrashEvidence
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

/** Guards against servers that crash one after the other under a prompt part, and against suspecting sound parts. */
class RequestQuarantineTest {
    private val quarantine = RequestQuarantine()
    private var crashCount = 0

    private val service = ServiceId("s")

    /** A prompt part, or a whole request if [id] begins with an equals sign. */
    private fun part(id: String) =
        if (id.startsWith('=')) RequestTrait.request(id.drop(1)) else RequestTrait.part(PromptPartId(id))

    private fun parts(ids: String) = ids.split(' ').map(::part)

    private fun crash(ids: String, now: Long, at: RequestQuarantine = quarantine, server: String = "s${crashCount++}") {
        val traits = parts(ids).withIndex().associate { (position, trait) ->
            trait to if (trait.isWholeRequest) CrashAttribution.WHOLE_REQUEST_POSITION else position
        }
        at.recordCrash(BackendServerId(server), 1, service, traits, now)
    }

    private fun isQuarantined(id: String, now: Long, at: RequestQuarantine = quarantine): Boolean {
        at.tick(now)
        return at.standing(listOf(part(id)), now) is RequestStanding.Quarantined
    }

    /** Crashes with the unanswered parts of each, answers, and the parts that are in quarantine in the end. */
    private class Case(
        val name: String,
        val crashes: List<Pair<Long, String>>,
        val answers: List<Pair<Long, String>>,
        val expected: String,
    )

    private val cases = listOf(
        Case("one crash suspects no part", listOf(0L to "f d"), listOf(50L to "f"), ""),
        Case("two crashes with one common part", listOf(0L to "f d", 300L to "f d n"), listOf(400L to "f n"), "d"),
        Case(
            "the common part is not in the first place",
            listOf(0L to "d f", 300L to "n d"),
            listOf(400L to "f n"),
            "d",
        ),
        Case("an answer between two crashes clears a part", listOf(0L to "p", 300L to "p"), listOf(200L to "p q"), ""),
        Case("crashes without a common part", listOf(0L to "a", 300L to "b", 600L to "c"), listOf(700L to "z"), ""),
        Case(
            "the part before the cause was answered a while ago",
            listOf(5_000L to "f g d", 5_300L to "f g d"),
            listOf(1_000L to "f g", 5_400L to "f"),
            "d",
        ),
        Case("servers of one rack crash at the same time", (0..4).map { 10L * it to "f p" }, listOf(60L to "z"), ""),
        Case("nothing is answered at all", listOf(0L to "f d", 300L to "f d", 600L to "f d"), emptyList(), ""),
        Case("two candidates in two crashes", listOf(0L to "d n", 300L to "n d"), listOf(400L to "f"), ""),
        Case(
            "two candidates until a third crash",
            listOf(0L to "d n", 300L to "n d", 600L to "d"),
            listOf(700L to "f"),
            "d",
        ),
        Case("a request that comes again", listOf(0L to "=d =a", 300L to "=d =b"), listOf(400L to "=a"), "=d"),
        Case(
            "a request of a session whose other requests are answered",
            listOf(0L to "f m =d", 300L to "f m =d"),
            listOf(100L to "f m =a", 200L to "f m =b", 400L to "f m =c"),
            "=d",
        ),
        Case(
            "a request of a session without other requests, until a third crash",
            listOf(0L to "f m =d", 300L to "f m =d"),
            listOf(400L to "f =a"),
            "",
        ),
        Case(
            "a request of a session without other requests",
            listOf(0L to "f m =d", 300L to "f m =d", 600L to "f m =d"),
            listOf(700L to "f =a"),
            "=d",
        ),
        Case(
            "a part in different requests, each of which comes again",
            listOf(0L to "f p =a", 300L to "f p =a", 600L to "f p =a", 2_600L to "f p =b"),
            listOf(700L to "f =z", 2_700L to "f =z"),
            "=a p",
        ),
        Case(
            "a part in different requests",
            listOf(0L to "f p =a", 300L to "f p =b"),
            listOf(400L to "f =z"),
            "p",
        ),
        Case("the only request that comes, with no answer at all", listOf(0L to "=d", 300L to "=d"), emptyList(), "=d"),
        Case(
            "nothing is answered, and different requests come",
            listOf(0L to "=d =a", 300L to "=d =b"),
            emptyList(),
            "",
        ),
        Case(
            "a sound request that was sent to the same two servers",
            listOf(0L to "=d =n", 300L to "=d =n", 900L to "=d"),
            listOf(700L to "=n", 400L to "=z"),
            "=d",
        ),
        Case("a request that is sent on at once", listOf(0L to "=d", 8L to "=d"), listOf(400L to "=z"), "=d"),
        Case(
            "a part in requests that are sent on at once",
            listOf(0L to "f p =a", 8L to "f p =a", 1_000L to "f p =b"),
            listOf(500L to "f =z", 1_100L to "f =z"),
            "p",
        ),
        Case(
            "a rack with a rare part, and another cause",
            (0..4).map { 10L * it to "f r =r$it" } + listOf(1_000L to "f p =a", 2_000L to "f p =b"),
            listOf(60L to "f =z", 2_100L to "f =z"),
            "p",
        ),
        Case("requests at servers of one rack", (0..4).map { 10L * it to "f =r$it" }, listOf(60L to "=z"), ""),
        Case("a request that is answered now and then", listOf(0L to "=a", 300L to "=a"), listOf(200L to "=a"), ""),
        Case(
            "two requests at once",
            listOf(0L to "=d", 300L to "=e", 600L to "=d", 900L to "=e"),
            listOf(1_000L to "=z"),
            "=d =e",
        ),
        Case(
            "a request beside crashes for other reasons",
            listOf(0L to "=a =d", 300L to "=b", 600L to "=c", 900L to "=d =e"),
            listOf(1_000L to "=z"),
            "=d",
        ),
        Case(
            "two causes at once",
            listOf(0L to "f d", 300L to "f e", 600L to "f d", 900L to "f e n"),
            listOf(1_000L to "f"),
            "d e",
        ),
    )

    @TestFactory
    fun `parts in quarantine after crashes and answers`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val quarantine = RequestQuarantine()
            val events = case.crashes.map { (at, ids) -> at to { crash(ids, at, quarantine) } } +
                case.answers.map { (at, ids) -> at to { quarantine.recordAnswered(service, parts(ids), at) } }
            events.sortedBy { it.first }.forEach { it.second() }
            val end = events.maxOf { it.first } + RequestQuarantine.SETTLE_MILLIS + 500
            quarantine.tick(end)
            val known = (case.crashes + case.answers).flatMapTo(sortedSetOf()) { it.second.split(' ') }
            val found = known.filter { isQuarantined(it, end, quarantine) }
            expectThat(found.joinToString(" ")).isEqualTo(case.expected)
        }
    }

    @Test
    fun `a part that is rare and comes back after a pause is found again at once`() {
        crash("f d", 0)
        quarantine.recordAnswered(service, parts("f"), 10)
        crash("f d", 200_000)
        quarantine.recordAnswered(service, parts("f"), 200_010)
        expectThat(isQuarantined("d", 201_000)).isEqualTo(true)
        val ended = 201_000L + 61_000
        expectThat(isQuarantined("d", ended)).isEqualTo(false)
        crash("f d", ended + 1_000)
        quarantine.recordAnswered(service, parts("f"), ended + 1_010)
        expectThat(isQuarantined("d", ended + 2_000)).isEqualTo(true)
        expectThat(isQuarantined("d", ended + 100_000)).isEqualTo(true)
    }

    @Test
    fun `a prompt waits while its part is suspected and the evidence may be incomplete`() {
        crash("f d", 0)
        quarantine.recordAnswered(service, parts("f"), 10)
        expectThat(quarantine.standing(parts("f d"), 20)).isEqualTo(RequestStanding.Clear)
        crash("f d", 300)
        quarantine.recordAnswered(service, parts("f"), 310)
        quarantine.tick(320)
        expectThat(quarantine.standing(parts("f d"), 320)).isEqualTo(RequestStanding.Suspended(880))
        expectThat(quarantine.standing(parts("f"), 320)).isEqualTo(RequestStanding.Clear)
    }

    @Test
    fun `an answer lifts the quarantine of a sound part at every node`() {
        val other = RequestQuarantine()
        crash("f p", 0)
        crash("f p", 300)
        quarantine.recordAnswered(service, parts("f"), 400)
        expectThat(isQuarantined("p", 1_300)).isEqualTo(true)
        other.merge(requireNotNull(quarantine.evidence(1_300)), 1_300)
        expectThat(isQuarantined("p", 1_400, other)).isEqualTo(true)
        other.recordAnswered(service, parts("f p"), 1_500)
        quarantine.merge(requireNotNull(other.evidence(1_600)), 1_600)
        other.merge(requireNotNull(quarantine.evidence(1_700)), 1_700)
        quarantine.merge(requireNotNull(other.evidence(1_800)), 1_800)
        expectThat(isQuarantined("p", 1_900)).isEqualTo(false)
        expectThat(isQuarantined("p", 1_900, other)).isEqualTo(false)
    }

    @Test
    fun `nodes that see one crash each find the cause together, and a new node learns it`() {
        val nodes = List(3) { RequestQuarantine() }
        nodes.forEachIndexed { i, node ->
            crash("f d n$i", i * 300L, node)
            node.recordAnswered(service, parts("f"), i * 300L + 10)
        }
        for (a in nodes) for (b in nodes) if (a !== b) b.merge(requireNotNull(a.evidence(700)), 700)
        nodes.forEach { expectThat(isQuarantined("d", 1_600, it)).isEqualTo(true) }
        val fresh = RequestQuarantine()
        fresh.merge(requireNotNull(nodes[0].evidence(5_000)), 0)
        expectThat(isQuarantined("d", 10, fresh)).isEqualTo(true)
        expectThat(isQuarantined("f", 10, fresh)).isEqualTo(false)
    }

    @Test
    fun `a crash whose cause is known is no evidence against the prompts beside it`() {
        crash("f d", 0)
        crash("f d", 300)
        quarantine.recordAnswered(service, parts("f"), 400)
        expectThat(isQuarantined("d", 1_300)).isEqualTo(true)
        crash("d n", 1_400, server = "x")
        crash("n d", 1_800, server = "y")
        quarantine.recordAnswered(service, parts("f"), 1_900)
        expectThat(isQuarantined("n", 3_000)).isEqualTo(false)
    }

    @Test
    fun `evidence is bounded and forgotten in time`() {
        repeat(500) { n -> crash((0..99).joinToString(" ") { "p$n-$it" }, n * 200L) }
        val evidence = requireNotNull(quarantine.evidence(100_000))
        expectThat(evidence.crashes.size).isLessThanOrEqualTo(16)
        expectThat(evidence.crashes.maxOf { it.traits.size }).isLessThanOrEqualTo(64)
        expectThat(evidence.answers.size).isLessThanOrEqualTo(64 + 16 * 64)
        quarantine.tick(800_000)
        expectThat(quarantine.evidence(800_000)).isNull()
    }

    @Test
    fun `crashes about which nothing new is known are told one at a time`() {
        repeat(8) { n -> crash("p$n =r$n", n * 200L) }
        expectThat(requireNotNull(quarantine.evidence(2_000)).crashes.size).isEqualTo(8)
        val told = List(8) { requireNotNull(quarantine.evidence(10_000L + it)).crashes }
        expectThat(told.map { it.size }.toSet()).isEqualTo(setOf(1))
        expectThat(told.flatten().map { it.server }.toSet().size).isEqualTo(8)
    }

    @Test
    fun `a whole request is held back at every node and its sound neighbours are not`() {
        val nodes = List(3) { RequestQuarantine() }
        nodes.forEachIndexed { i, node ->
            crash("f m =d =n$i", i * 300L, node)
            node.recordAnswered(service, parts("f m =s$i"), i * 300L + 10)
        }
        for (a in nodes) for (b in nodes) if (a !== b) b.merge(requireNotNull(a.evidence(700)), 700)
        for (node in nodes) {
            expectThat(isQuarantined("=d", 1_600, node)).isEqualTo(true)
            expectThat(listOf("f", "m", "=n0", "=n1").filter { isQuarantined(it, 1_600, node) }).isEqualTo(emptyList())
        }
    }

    @Test
    fun `what answers of one service say does not clear the servers of another`() {
        val other = ServiceId("other")
        crash("=a =x", 0)
        crash("=a =y", 300)
        quarantine.recordAnswered(other, parts("=z"), 400)
        expectThat(isQuarantined("=a", 1_300)).isEqualTo(false)
        quarantine.recordAnswered(service, parts("=z"), 1_400)
        expectThat(isQuarantined("=a", 1_500)).isEqualTo(true)
    }

    @TestFactory
    fun `evidence with any values is merged without an error and stays bounded`() = (1..20).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val random = Random(seed)
            val quarantine = RequestQuarantine()
            repeat(200) {
                quarantine.merge(anyEvidence(random), now = it * 50L).also { _ -> quarantine.tick(it * 50L) }
            }
            quarantine.standing(parts("p1 p2"), 10_000)
            val evidence = quarantine.evidence(10_000) ?: CrashEvidence()
            expectThat(evidence.crashes.size).isLessThanOrEqualTo(16)
            expectThat(evidence.quarantines.size).isLessThanOrEqualTo(32)
        }
    }

    private fun anyEvidence(random: Random): CrashEvidence {
        fun anyLong() = listOf(0L, -1L, 1L, 500L, Long.MIN_VALUE, Long.MAX_VALUE, random.nextLong()).random(random)
        fun anyPart() = part("${listOf("p", "=").random(random)}${random.nextInt(100)}")
        return CrashEvidence(
            crashes = List(random.nextInt(4)) {
                val parts = (0..random.nextInt(40)).associate { anyPart() to random.nextInt() }
                CrashEvidence.Crash(BackendServerId("s${random.nextInt(50)}"), anyLong(), anyLong(), parts)
            },
            answers = List(random.nextInt(4)) { CrashEvidence.AnsweredTrait(anyPart(), anyLong()) },
            quarantines = List(random.nextInt(40)) {
                CrashEvidence.QuarantinedTrait(anyPart(), random.nextInt(), anyLong(), anyLong())
            },
        )
    }

    @Test
    fun `an answer before the crashes does not seem later because nodes pass it on again and again`() {
        val nodes = List(3) { RequestQuarantine() }
        nodes[0].recordAnswered(service, parts("f p"), 1_000)
        crash("f p", 1_010, nodes[1])
        crash("f p", 1_400, nodes[2])
        nodes.forEach { it.recordAnswered(service, parts("f"), 1_500) }
        var lifted = 0
        val underWay = ArrayDeque<Pair<Long, () -> Unit>>()
        for (now in 1_500L..20_000L) {
            while (underWay.isNotEmpty() && underWay.first().first <= now) underWay.removeFirst().second()
            if (now % 150 != 0L) continue
            for (node in nodes) {
                lifted += node.tick(now).lifted.size
                val evidence = node.evidence(now) ?: continue
                (nodes - node).forEach { other ->
                    underWay += now + LATENCY_MILLIS to { other.merge(evidence, now + LATENCY_MILLIS) }
                }
            }
        }
        nodes.forEach { expectThat(isQuarantined("p", 20_000, it)).isEqualTo(true) }
        expectThat(lifted).isEqualTo(0)
    }

    @Test
    fun `the evidence of a node that knows of no crash is null`() {
        quarantine.recordAnswered(service, parts("f p"), 10)
        expectThat(quarantine.evidence(20)).isNull()
        crash("f", 30)
        expectThat(quarantine.evidence(40)).isNotNull()
    }

    private companion object {
        /** Time for a message between two nodes. */
        const val LATENCY_MILLIS = 5L
    }
}
