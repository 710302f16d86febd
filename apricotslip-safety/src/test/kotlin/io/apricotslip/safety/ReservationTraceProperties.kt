package io.apricotslip.safety

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.lifecycle.AfterContainer
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.UUID
import kotlin.random.Random

@Suppress("ktlint:standard:function-naming")
class ReservationTraceProperties {
    @Property(tries = TRACES, seed = "20261205")
    fun `no key runs twice, and keys run`(@ForAll seed: Long) {
        val trace = ReservationTrace(Random(seed))
        repeat(1500) { trace.round() }
        expectThat(trace.runs.values).all { isLessThanOrEqualTo(1) }
        runs += trace.runs.size
    }

    companion object {
        private const val TRACES = 200
        private var runs = 0

        @JvmStatic
        @AfterContainer
        fun `keys run`() {
            println("event=reservation_traces keys_run=$runs")
            expectThat(runs).isGreaterThan(TRACES)
        }
    }
}

/** Callers that repeat their keys at any VM of a [Fleet]. */
internal class ReservationTrace(random: Random) {
    private val fleet = Fleet(random, listOf("a", "b", "c", "d", "e"))
    private val keys = ArrayList<String>()
    val runs = HashMap<String, Int>()

    fun round() {
        fleet.round()
        if (fleet.chance(200)) keys += mint()
        if (keys.size > 60) keys.removeFirst()
        fleet.awake().forEach { node -> repeat(2) { if (keys.isNotEmpty()) call(node, keys.random(fleet.random)) } }
    }

    private fun call(node: Node, key: String) {
        val decision = node.reservations.begin(key, node.wallMillis(), node.now())
        if (decision != ReservationDecision.Run) return
        if (fleet.chance(100)) {
            node.reservations.notRun(key)
            return
        }
        runs.merge(key, 1, Int::plus)
        if (fleet.chance(500)) node.reservations.outcomeUnknown(key)
    }

    private fun mint(): String {
        val skew = fleet.random.nextLong(-SKEW_MILLIS / 2, SKEW_MILLIS / 2)
        return uuid7(fleet.wallMillis() + skew, fleet.random.nextLong())
    }
}

internal fun uuid7(millis: Long, tail: Long): String =
    UUID((millis shl 16) or 0x7000L or (tail and 0xfff), (tail ushr 2) or Long.MIN_VALUE).toString()
