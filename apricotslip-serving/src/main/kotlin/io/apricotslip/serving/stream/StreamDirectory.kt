package io.apricotslip.serving.stream

import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.StreamKey
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.api.peer.FleetMessage.StreamAnswer
import io.apricotslip.api.peer.FleetMessage.StreamGroup
import io.apricotslip.api.peer.FleetMessage.StreamQuestion
import io.apricotslip.api.peer.FleetMessage.StreamsBegun
import io.apricotslip.api.peer.HistoryAnswer
import io.apricotslip.api.peer.HistoryQuestion
import io.apricotslip.api.peer.ServedVersions
import io.apricotslip.api.peer.StreamKnowledge
import io.apricotslip.api.peer.StreamOrigin
import io.apricotslip.serving.member.FleetExchange.Outgoing
import io.apricotslip.serving.state.RouteHistory
import kotlin.random.Random

/**
 * What all nodes know of the streams that have begun, so that a caller can take one up at any node, also after the node
 * where it began is gone.
 *
 * Each node passes on what it begins to its keepers, two hubs of different availability zones; a node that does not
 * know a stream asks the hubs. What one node sends and receives does not grow with the fleet.
 *
 * It does no I/O: functions return the messages to send, and [advance] must be called when [nextDueAt] says.
 */
public class StreamDirectory(
    private val peers: StreamPeers,
    private val history: VersionHistory,
    routes: RouteHistory,
) {
    /** What all nodes that could be asked know of a stream, and of the versions of its service. */
    public class Finding(public val knowledge: StreamKnowledge, public val versions: ServedVersions)

    private class Inquiry(val question: StreamQuestion, val askedAt: Long, val done: (Finding) -> List<Outgoing>) {
        val awaited = HashSet<VmId>()
        val answered = HashSet<VmId>()
        var repeated = false
        var versions: ServedVersions = ServedVersions.Unobserved
    }

    private val memory = StreamMemory()
    private val historyExchange = HistoryExchange(history, routes)
    private val inquiries = LinkedHashMap<Long, Inquiry>()
    private var pending = LinkedHashMap<Pair<StreamOrigin, Long>, ArrayList<StreamKey>>()
    private var pendingSince: Long? = null

    /** Starts anywhere: an answer to a question of an earlier process of this node must not fit one of this process. */
    private var nextNumber = Random.nextInt(Int.MAX_VALUE).toLong()

    /** Number of streams that this node remembers. */
    public val size: Int
        get() = memory.size

    /** Time at which [advance] must be called; null when nothing is due. */
    public fun nextDueAt(): Long? {
        val flushAt = pendingSince?.let { it + peers.batchMillis() }
        return (inquiries.values.map(::dueAt) + listOfNotNull(flushAt)).minOrNull()
    }

    /** Records that [origin] wrote the first event of [stream], which may be taken up for [lifetimeMillis]. */
    public fun recordBegun(stream: StreamKey, origin: StreamOrigin, lifetimeMillis: Long, now: Long) {
        memory.record(stream, origin, lifetimeMillis, now)
        pending.getOrPut(origin to lifetimeMillis) { ArrayList() }.add(stream)
        if (pendingSince == null) pendingSince = now
    }

    /**
     * Finds what began [stream]; [done] gets it at once when this node knows, otherwise within a few hundred
     * milliseconds. If nobody knows, the stream must be of [service], if it is not null.
     */
    public fun find(
        stream: StreamKey,
        service: ServiceId?,
        lifetimeMillis: Long,
        now: Long,
        done: (Finding) -> Unit,
    ): List<Outgoing> = inquire(StreamQuestion(nextNumber++, stream, service, lifetimeMillis, relay = true), now) {
        done(it)
        emptyList()
    }

    private fun inquire(question: StreamQuestion, now: Long, done: (Finding) -> List<Outgoing>): List<Outgoing> {
        val known = memory.find(question.stream, now)
        val own = question.service?.let { history.served(it, question.lifetimeMillis, now) } ?: ServedVersions.Several
        val inquiry = Inquiry(question, now, done)
        inquiry.versions = own
        if (known != StreamKnowledge.Unknown) return done(Finding(known, own))
        val out = ask(inquiry, now)
        if (inquiry.awaited.isEmpty()) {
            // A node that should have peers and reaches none may be the one that is cut off.
            return done(Finding(known, if (peers.alone(now)) own else ServedVersions.Several))
        }
        if (inquiries.size >= MAX_INQUIRIES) return done(Finding(known, ServedVersions.Several))
        inquiries[question.number] = inquiry
        return out
    }

    private fun ask(inquiry: Inquiry, now: Long): List<Outgoing> {
        val home = peers.home(now)?.takeIf(peers::reaches)
        val others = peers.hubs(now).filterTo(HashSet()) { it != home && peers.reaches(it) }
        inquiry.awaited.clear()
        inquiry.awaited += others + setOfNotNull(home)
        return listOf(
            Outgoing(others, inquiry.question.copy(relay = false)),
            Outgoing(setOfNotNull(home), inquiry.question),
        ).filter { it.to.isNotEmpty() }
    }

    /** Handles [message] of [peer]; returns the answers. Messages of other kinds are left alone. */
    public fun receive(peer: VmId, message: FleetMessage, now: Long): List<Outgoing> = when (message) {
        is StreamsBegun -> record(message, now)
        is StreamQuestion -> answer(peer, message, now)
        is StreamAnswer -> handle(peer, message)
        is HistoryQuestion -> listOfNotNull(historyExchange.answer(message, now)?.let { Outgoing(listOf(peer), it) })
        is HistoryAnswer -> emptyList<Outgoing>().also { historyExchange.record(message, now) }
        else -> emptyList()
    }

    private fun record(begun: StreamsBegun, now: Long): List<Outgoing> {
        for (group in begun.groups) {
            group.streams.forEach { memory.record(it, group.origin, group.lifetimeMillis, now) }
        }
        return emptyList()
    }

    private fun answer(peer: VmId, question: StreamQuestion, now: Long): List<Outgoing> {
        val reply = { finding: Finding ->
            listOf(Outgoing(listOf(peer), StreamAnswer(question.number, finding.knowledge, finding.versions)))
        }
        if (question.relay) return inquire(question.copy(number = nextNumber++, relay = false), now, reply)
        val own = question.service?.let { history.served(it, question.lifetimeMillis, now) } ?: ServedVersions.Several
        return reply(Finding(memory.find(question.stream, now), own))
    }

    private fun handle(peer: VmId, answer: StreamAnswer): List<Outgoing> {
        val inquiry = inquiries[answer.number] ?: return emptyList()
        if (!inquiry.awaited.remove(peer)) return emptyList()
        inquiry.answered.add(peer)
        inquiry.versions = StreamContinuation.merge(inquiry.versions, answer.versions)
        if (answer.knowledge != StreamKnowledge.Unknown) return finish(inquiry, answer.knowledge)
        val last = inquiry.repeated && inquiry.awaited.isEmpty()
        return if (last) finish(inquiry, StreamKnowledge.Unknown) else emptyList()
    }

    /** Asks other nodes for what they have seen before this one watched; must be called periodically. */
    public fun tick(now: Long): List<Outgoing> {
        val hubs = peers.hubs(now) + setOfNotNull(peers.home(now))
        if (hubs.isEmpty()) return emptyList()
        return listOfNotNull(historyExchange.question(now)?.let { Outgoing(hubs, it) })
    }

    /** Sends what is due at [now]. */
    public fun advance(now: Long): List<Outgoing> {
        val out = ArrayList<Outgoing>()
        pendingSince?.let { if (now - it >= peers.batchMillis()) out += flush(now) }
        for (inquiry in inquiries.values.filter { dueAt(it) <= now }) {
            if (inquiry.repeated) {
                out += finish(inquiry, memory.find(inquiry.question.stream, now))
                continue
            }
            inquiry.repeated = true
            out += ask(inquiry, now)
            if (inquiry.awaited.isEmpty()) out += finish(inquiry, StreamKnowledge.Unknown)
        }
        return out
    }

    /** Passes on at once what has begun, as before the end of this process. */
    public fun flush(now: Long): List<Outgoing> {
        val groups = pending.map { (key, streams) -> StreamGroup(key.first, key.second, streams) }
        pending = LinkedHashMap()
        pendingSince = null
        val keepers = peers.keepers(now)
        if (groups.isEmpty() || keepers.isEmpty()) return emptyList()
        return listOf(Outgoing(keepers, StreamsBegun(groups)))
    }

    private fun finish(inquiry: Inquiry, knowledge: StreamKnowledge): List<Outgoing> {
        inquiries.remove(inquiry.question.number)
        val versions = if (inquiry.answered.isEmpty()) ServedVersions.Several else inquiry.versions
        return inquiry.done(Finding(knowledge, versions))
    }

    /** A question is asked twice: what a stream began with may be on its way to the keepers at the first time. */
    private fun dueAt(inquiry: Inquiry): Long {
        val repeatAt = inquiry.askedAt + peers.batchMillis() + ARRIVAL_MILLIS
        return if (inquiry.repeated) repeatAt + ANSWER_MILLIS else repeatAt
    }

    private companion object {
        /** Time of a message between two nodes, also between availability zones and on a busy node. */
        const val ARRIVAL_MILLIS = 40L

        /** Time of a question and its answer over one more node. A node that is silent for longer is left out. */
        const val ANSWER_MILLIS = 150L

        /** Far more than callers that come back within the time of an inquiry after the loss of many nodes. */
        const val MAX_INQUIRIES = 2_000
    }
}
