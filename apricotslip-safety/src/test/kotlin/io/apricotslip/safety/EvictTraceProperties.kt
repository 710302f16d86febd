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

/**
 * Guards against the eviction of an adapter in use. It could come about when messages, reports and orders are lost,
 * duplicated or delayed while VMs and engines restart and VM lists change.
 */
@Suppress("ktlint:standard:function-naming")
class EvictTraceProperties {
    @Property(tries = TRACES, seed = "20261204")
    fun `no adapter in use is evicted`(@ForAll seed: Long) {
        val trace = EvictTrace(Random(seed))
        repeat(1500) { trace.step() }
        expectThat(trace.engines.sumOf { it.evictsInUse }).isEqualTo(0)
        evicts += trace.engines.sumOf { it.evicts }
        starts += trace.starts
    }

    companion object {
        private const val TRACES = 300
        private const val MIN_EVICTS = 1_000
        private const val MIN_STARTS = 10_000
        private var evicts = 0
        private var starts = 0

        @JvmStatic
        @AfterContainer
        fun `traces contain enough evictions and starts`() {
            println("event=evict_traces evicts=$evicts starts=$starts")
            expectThat(evicts).isGreaterThan(MIN_EVICTS)
            expectThat(starts).isGreaterThan(MIN_STARTS)
        }
    }
}

/** Runs the guards of a [Fleet] against two model engines, one of which checks the fencing token. */
internal class EvictTrace(random: Random) {
    private val fleet = Fleet(random, listOf("a", "b", "c", "d", "e"))
    private val adapters = listOf("one@v1", "two@v1").map { AdapterVersion.parse(it)!! }
    private val fences = HashMap<Node, FenceCounter>()
    private val engineIncarnations = HashMap<Pair<Node, BackendServerId>, Incarnation>()
    private val tickets = HashMap<Node, ArrayList<EvictTicket>>()
    private var requests = 0L
    val engines = listOf(true, false).map { ModelEngine(BackendServerId("engine-$it"), checksFence = it) }
    var starts = 0
        private set

    fun step() {
        fleet.step().forEach { crashed -> tickets.remove(crashed) }
        fleet.runningNodes().forEach { node ->
            fleet.send(node, node.guard.passesDue(engines.map { it.id }, node.now()))
            fleet.send(node, node.guard.retryConsentRequests(node.now()))
            engines.forEach { act(node, it) }
        }
        engines.forEach { engine ->
            engine.streams.filter { it.node !in fleet.nodes.values && fleet.chance(10) }.forEach(engine.streams::remove)
            deliverDelayedEvicts(engine)
            if (fleet.chance(2)) restart(engine)
        }
    }

    private fun act(node: Node, engine: ModelEngine) {
        val adapter = adapters.random(fleet.random)
        if (fleet.chance(150)) start(node, engine, adapter)
        engine.streams.filter { it.node === node && fleet.chance(120) }.forEach { end(engine, it) }
        if (fleet.chance(300)) report(node, engine)
        if (node.membership.roleFor(engine.id, node.now()) == Role.Owner && fleet.chance(100)) {
            val consentRequest = node.guard.requestEvictConsent(engine.id, adapter, node.now())
            fleet.send(node, consentRequest.envelopes)
            val open = tickets.getOrPut(node) { ArrayList() }
            if (consentRequest.ticket !in open) open += consentRequest.ticket
        }
        tickets[node].orEmpty().filter { it.server == engine.id }.forEach { followVerdict(node, engine, it) }
    }

    private fun start(node: Node, engine: ModelEngine, adapter: AdapterVersion) {
        if (!node.guard.mayStart(engine.id, adapter, node.now())) return
        val stream = Stream(node, RequestId("r${requests++}"), adapter)
        node.guard.requestStarted(engine.id, adapter, stream.request)
        engine.streams += stream
        engine.recordSnapshot()
        starts++
    }

    private fun end(engine: ModelEngine, stream: Stream) {
        engine.streams -= stream
        stream.node.guard.requestEnded(engine.id, stream.adapter, stream.request)
        engine.recordSnapshot()
    }

    private fun report(node: Node, engine: ModelEngine) {
        val snapshot = engine.randomReport(fleet)
        val former = engineIncarnations.put(node to engine.id, snapshot.engine)
        if (former != null && former != snapshot.engine) fleet.send(node, node.guard.engineRestarted(engine.id))
        node.guard.reportReceived(engine.id, snapshot.engine, snapshot.sequence, snapshot.running)
    }

    private fun followVerdict(node: Node, engine: ModelEngine, ticket: EvictTicket) {
        when (val verdict = node.guard.verdict(ticket, node.now())) {
            EvictVerdict.Ready -> evict(node, engine, ticket)
            is EvictVerdict.Waiting -> if (verdict.evidence == Evidence.OrderNeeded) sendOrder(node, engine)
            is EvictVerdict.Refused ->
                if (ticket.state == TicketState.GatheringConsents) {
                    close(node, ticket)
                } else {
                    handleRefusedTicket(node, engine)
                }
        }
    }

    private fun handleRefusedTicket(node: Node, engine: ModelEngine) {
        tickets[node]?.removeIf { it.state == TicketState.Closed }
        val role = node.membership.roleFor(engine.id, node.now())
        if (role == Role.Owner && node.membership.leaseHeld(node.now()) && fleet.chance(100)) sendOrder(node, engine)
    }

    private fun close(node: Node, ticket: EvictTicket) {
        fleet.send(node, node.guard.closeTicket(ticket))
        tickets[node]?.remove(ticket)
    }

    private fun sendOrder(node: Node, engine: ModelEngine) {
        val handle = node.guard.recordOrder(engine.id)
        val counter = fences.getOrPut(node) { FenceCounter() }
        val revision = node.membership.tenured?.revision ?: return
        val fence = counter.next(engine.id, revision)
        val highest = engine.highestIfStale(fence)
        if (highest != null) {
            counter.onStaleFence(engine.id, highest, revision)
            return
        }
        val sequence = engine.execute(fence)
        if (fleet.chance(900)) fleet.send(node, node.guard.orderAcknowledged(handle, sequence))
    }

    private fun evict(node: Node, engine: ModelEngine, ticket: EvictTicket) {
        val counter = fences.getOrPut(node) { FenceCounter() }
        val revision = node.membership.list.revision
        val fence = counter.next(engine.id, revision)
        val handle = node.guard.recordOrder(engine.id)
        node.guard.orderSent(ticket)
        val highest = engine.highestIfStale(fence)
        when {
            highest != null -> {
                counter.onStaleFence(engine.id, highest, revision)
                close(node, ticket)
            }

            fleet.chance(850) -> {
                val sequence = engine.execute(fence, ticket.adapter)
                fleet.send(node, node.guard.orderAcknowledged(handle, sequence))
                close(node, ticket)
            }

            else -> {
                if (fleet.chance(300)) engine.execute(fence, ticket.adapter)
                val expiresAt = fleet.time + fleet.random.nextLong(LEASE_NANOS / 2)
                if (fleet.chance(700)) engine.delayedEvicts += DelayedEvict(ticket.adapter, fence, expiresAt)
                node.guard.markUnanswered(ticket, fenceChecked = engine.checksFence)
            }
        }
    }

    /** Orders whose answer was lost arrive late, within half a lease, or never. */
    private fun deliverDelayedEvicts(engine: ModelEngine) {
        engine.delayedEvicts.removeIf { it.expiresAt < fleet.time }
        engine.delayedEvicts.filter { fleet.chance(50) }.forEach { order ->
            engine.delayedEvicts.remove(order)
            if (engine.highestIfStale(order.fence) == null) engine.execute(order.fence, order.adapter)
        }
    }

    private fun restart(engine: ModelEngine) {
        val aborted = engine.streams.toList()
        engine.restart()
        aborted.forEach { it.node.guard.requestEnded(engine.id, it.adapter, it.request) }
    }
}
