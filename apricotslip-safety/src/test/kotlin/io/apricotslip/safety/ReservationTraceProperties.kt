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

/**
 * Guards against a call that runs twice under one idempotency key. It could come about when callers repeat a key at
 * several VMs while VMs restart, clocks differ and VM lists change.
 */
@Suppress("ktlint:standard:function-naming")
class ReservationTraceProperties {
    @Property(tries = TRACES, seed = "20261205")
    fun `no key runs twice`(@ForAll seed: Long) {
        val trace = ReservationTrace(Random(seed))
        repeat(1500) { trace.step() }
        expectThat(trace.executionCounts.values).all { isLessThanOrEqualTo(1) }
        keysRun += trace.executionCounts.size
    }

    companion object {
        private const val TRACES = 200
        private var keysRun = 0

        @JvmStatic
        @AfterContainer
        fun `traces contain enough keys that run`() {
            println("event=reservation_traces keys_run=$keysRun")
            expectThat(keysRun).isGreaterThan(TRACES)
        }
    }
}

/** Simulates callers that repeat their keys at any VM of a [Fleet]. */
internal class ReservationTrace(random: Random) {
    private val fleet = Fleet(random, listOf("a", "b", "c", "d", "e"))
    private val keys = ArrayList<String>()
    val executionCounts = HashMap<String, Int>()

    fun step() {
        fleet.step()
        if (fleet.chance(200)) keys += newKey()
        if (keys.size > 60) keys.removeFirst()
        fleet.runningNodes().forEach { node ->
            repeat(2) { if (keys.isNotEmpty()) call(node, keys.random(fleet.random)) }
        }
    }

    private fun call(node: Node, key: String) {
        val decision = node.reservations.begin(key, node.wallMillis(), node.now())
        if (decision != ReservationDecision.Run) return
        if (fleet.chance(100)) {
            node.reservations.notRun(key)
            return
        }
        executionCounts.merge(key, 1, Int::plus)
        if (fleet.chance(500)) node.reservations.outcomeUnknown(key)
    }

    private fun newKey(): String {
        val skew = fleet.random.nextLong(-CLOCK_SKEW_MILLIS / 2, CLOCK_SKEW_MILLIS / 2)
        return uuid7(fleet.wallMillis() + skew, fleet.random.nextLong())
    }
}

/** A UUID version 7 created at [millis] since 1970. */
internal fun uuid7(millis: Long, randomBits: Long): String =
    UUID((millis shl 16) or 0x7000L or (randomBits and 0xfff), (randomBits ushr 2) or Long.MIN_VALUE).toString()
