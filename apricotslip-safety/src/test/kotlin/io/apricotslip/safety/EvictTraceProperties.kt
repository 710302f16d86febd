package io.apricotslip.safety

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.RequestId
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.lifecycle.AfterContainer
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

@Suppress("ktlint:standard:function-naming")
class EvictTraceProperties {
    @Property(tries = TRACES, seed = "20261204")
    fun `no adapter in use is evicted, and evicts happen`(@ForAll seed: Long) {
        val trace = EvictTrace(Random(seed))
        repeat(1500) { trace.round() }
        expectThat(trace.engines.sumOf { it.evictsUnderUse }).isEqualTo(0)
        evicts += trace.engines.sumOf { it.evicts }
        starts += trace.starts
    }

    companion object {
        private const val TRACES = 300
        private const val LEAST_EVICTS = 1_000
        private const val LEAST_STARTS = 10_000
        private var evicts = 0
        private var starts = 0

        @JvmStatic
        @AfterContainer
        fun `evicts and starts happen`() {
            println("event=evict_traces evicts=$evicts starts=$starts")
            expectThat(evicts).isGreaterThan(LEAST_EVICTS)
            expectThat(starts).isGreaterThan(LEAST_STARTS)
        }
    }
}

/** Drives the guards of a [Fleet] against two model engines, one of which checks the fence. */
internal class EvictTrace(random: Random) {
    private val fleet = Fleet(random, listOf("a", "b", "c", "d", "e"))
    private val adapters = listOf("one@v1", "two@v1").map { AdapterVersion.parse(it)!! }
    private val fences = HashMap<Node, FenceCounter>()
    private val engineLives = HashMap<Pair<Node, BackendServerId>, Incarnation>()
    private val tickets = HashMap<Node, ArrayList<EvictTicket>>()
    private var requests = 0L
    val engines = listOf(true, false).map { ModelEngine(BackendServerId("engine-$it"), checksFence = it) }
    var starts = 0
        private set

    fun round() {
        fleet.round().forEach { dead -> tickets.remove(dead) }
        fleet.awake().forEach { node ->
            fleet.send(node, node.guard.passesDue(engines.map { it.id }, node.now()))
            fleet.send(node, node.guard.retryConsentRequests(node.now()))
            engines.forEach { work(node, it) }
        }
        engines.forEach { engine ->
            engine.streams.filter { it.node !in fleet.nodes.values && fleet.chance(10) }.forEach(engine.streams::remove)
            arrive(engine)
            if (fleet.chance(2)) restart(engine)
        }
    }

    private fun work(node: Node, engine: ModelEngine) {
        val adapter = adapters.random(fleet.random)
        if (fleet.chance(150)) start(node, engine, adapter)
        engine.streams.filter { it.node === node && fleet.chance(120) }.forEach { end(engine, it) }
        if (fleet.chance(300)) report(node, engine)
        if (node.membership.roleFor(engine.id, node.now()) == Role.Owner && fleet.chance(100)) {
            val asked = node.guard.requestEvictConsent(engine.id, adapter, node.now())
            fleet.send(node, asked.envelopes)
            val open = tickets.getOrPut(node) { ArrayList() }
            if (asked.ticket !in open) open += asked.ticket
        }
        tickets[node].orEmpty().filter { it.server == engine.id }.forEach { judge(node, engine, it) }
    }

    private fun start(node: Node, engine: ModelEngine, adapter: AdapterVersion) {
        if (!node.guard.mayStart(engine.id, adapter, node.now())) return
        val stream = Stream(node, RequestId("r${requests++}"), adapter)
        node.guard.requestStarted(engine.id, adapter, stream.request)
        engine.streams += stream
        engine.changed()
        starts++
    }

    private fun end(engine: ModelEngine, stream: Stream) {
        engine.streams -= stream
        stream.node.guard.requestEnded(engine.id, stream.adapter, stream.request)
        engine.changed()
    }

    private fun report(node: Node, engine: ModelEngine) {
        val snapshot = engine.report(fleet)
        val former = engineLives.put(node to engine.id, snapshot.engine)
        if (former != null && former != snapshot.engine) fleet.send(node, node.guard.engineRestarted(engine.id))
        node.guard.reportReceived(engine.id, snapshot.engine, snapshot.sequence, snapshot.running)
    }

    private fun judge(node: Node, engine: ModelEngine, ticket: EvictTicket) {
        when (val verdict = node.guard.verdict(ticket, node.now())) {
            EvictVerdict.Ready -> evict(node, engine, ticket)
            is EvictVerdict.Waiting -> if (verdict.evidence == Evidence.OrderNeeded) order(node, engine)
            is EvictVerdict.Refused -> if (ticket.state ==
                TicketState.Asking
            ) {
                close(node, ticket)
            } else {
                retry(node, engine)
            }
        }
    }

    private fun retry(node: Node, engine: ModelEngine) {
        tickets[node]?.removeIf { it.state == TicketState.Closed }
        val role = node.membership.roleFor(engine.id, node.now())
        if (role == Role.Owner && node.membership.leaseHeld(node.now()) && fleet.chance(100)) order(node, engine)
    }

    private fun close(node: Node, ticket: EvictTicket) {
        fleet.send(node, node.guard.closeTicket(ticket))
        tickets[node]?.remove(ticket)
    }

    private fun order(node: Node, engine: ModelEngine) {
        val mark = node.guard.recordOrder(engine.id)
        val counter = fences.getOrPut(node) { FenceCounter() }
        val revision = node.membership.tenured?.revision ?: return
        val fence = counter.next(engine.id, revision)
        val highest = engine.refuses(fence)
        if (highest != null) {
            counter.onStaleFence(engine.id, highest, revision)
            return
        }
        val sequence = engine.order(fence)
        if (fleet.chance(900)) fleet.send(node, node.guard.orderAcknowledged(mark, sequence))
    }

    private fun evict(node: Node, engine: ModelEngine, ticket: EvictTicket) {
        val counter = fences.getOrPut(node) { FenceCounter() }
        val revision = node.membership.list.revision
        val fence = counter.next(engine.id, revision)
        val mark = node.guard.recordOrder(engine.id)
        node.guard.orderSent(ticket)
        val highest = engine.refuses(fence)
        when {
            highest != null -> {
                counter.onStaleFence(engine.id, highest, revision)
                close(node, ticket)
            }

            fleet.chance(850) -> {
                val sequence = engine.order(fence, ticket.adapter)
                fleet.send(node, node.guard.orderAcknowledged(mark, sequence))
                close(node, ticket)
            }

            else -> {
                if (fleet.chance(300)) engine.order(fence, ticket.adapter)
                val until = fleet.time + fleet.random.nextLong(LEASE / 2)
                if (fleet.chance(700)) engine.late += LateEvict(ticket.adapter, fence, until)
                node.guard.markUnanswered(ticket, fenceChecked = engine.checksFence)
            }
        }
    }

    /** Lost orders land late, within half a lease, or never. */
    private fun arrive(engine: ModelEngine) {
        engine.late.removeIf { it.until < fleet.time }
        engine.late.filter { fleet.chance(50) }.forEach { order ->
            engine.late.remove(order)
            if (engine.refuses(order.fence) == null) engine.order(order.fence, order.adapter)
        }
    }

    private fun restart(engine: ModelEngine) {
        val broken = engine.streams.toList()
        engine.restart()
        broken.forEach { it.node.guard.requestEnded(engine.id, it.adapter, it.request) }
    }
}
