package io.apricotslip.gateway.peer

import io.apricotslip.api.id.StreamKey
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.api.peer.StreamOrigin
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.member.FleetExchange
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.RouteHistory
import io.apricotslip.serving.stream.StreamContinuation
import io.apricotslip.serving.stream.StreamDirectory
import io.apricotslip.serving.stream.StreamPeers
import io.apricotslip.serving.stream.VersionHistory
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Shares with other nodes what began the streams of this node, and asks them about those that callers take up here. */
internal class StreamExchange(
    private val loop: EventLoop,
    private val fleet: Fleet,
    private val exchange: FleetExchange,
    private val isLinked: (VmId) -> Boolean,
    private val now: () -> Long,
    private val send: (List<FleetExchange.Outgoing>) -> Unit,
) : StreamPeers {
    /** The software versions that have served lately. */
    val versions = VersionHistory()

    /** Since when the routes have led to their services. */
    val routes = RouteHistory()
    private val directory = StreamDirectory(this, versions, routes)
    private var scheduledAt = Long.MAX_VALUE

    /** Number of streams that this node remembers. */
    val size: Int get() = directory.size

    /** Records that [origin] wrote the first event of the stream that attempt [requestId] on [route] began. */
    fun recordBegun(requestId: String, origin: StreamOrigin, route: Route) {
        directory.recordBegun(StreamKey.of(requestId), origin, lifetimeMillis(route), now())
        schedule()
    }

    /** Decides where the stream goes on that attempt [requestId] began, if the caller has named one. */
    fun find(requestId: String?, route: Route, done: (StreamContinuation) -> Unit) {
        val lifetimeMillis = lifetimeMillis(route)
        val only = routes.onlyService(route.name, lifetimeMillis, now())
        val targets = route.targets.mapTo(HashSet()) { it.service }
        // Without an id, what the versions of the service tell is all that there is.
        val stream = StreamKey.of(requestId ?: NO_REQUEST)
        send(
            directory.find(stream, only, lifetimeMillis, now()) {
                done(StreamContinuation.decide(it.knowledge, it.versions, only, targets))
            },
        )
        schedule()
    }

    fun onMessage(peer: VmId, message: FleetMessage) {
        send(directory.receive(peer, message, now()))
        schedule()
    }

    fun tick() {
        versions.record(fleet.all, now())
        send(directory.tick(now()))
    }

    /** Passes on at once what has begun. */
    fun flush() = send(directory.flush(now()))

    override fun keepers(now: Long): Set<VmId> = exchange.keepers(now)

    override fun home(now: Long): VmId? = exchange.askingHub()

    override fun hubs(now: Long): Set<VmId> = exchange.askableHubs(now)

    override fun reaches(vm: VmId): Boolean = isLinked(vm)

    override fun alone(now: Long): Boolean = exchange.alone()

    override fun batchMillis(): Long = exchange.size(now()).toLong().coerceIn(MIN_BATCH_MILLIS, MAX_BATCH_MILLIS)

    /** A stream lasts at most as long as its route allows, and its caller may take it up for as long again. */
    private fun lifetimeMillis(route: Route) = route.timeoutMillis * 2

    private fun schedule() {
        val dueAt = directory.nextDueAt() ?: return
        if (dueAt >= scheduledAt) return
        scheduledAt = dueAt
        loop.schedule(::advance, maxOf(1, dueAt - now()), TimeUnit.MILLISECONDS)
    }

    private fun advance() {
        scheduledAt = Long.MAX_VALUE
        send(directory.advance(now()))
        schedule()
    }

    private companion object {
        /** No attempt has an empty id. */
        const val NO_REQUEST = ""

        /** Short against the time in which a caller whose stream broke off comes back. */
        const val MIN_BATCH_MILLIS = 5L

        /** A tick of the reports between nodes. */
        const val MAX_BATCH_MILLIS = FleetExchange.INTERVAL_MILLIS
    }
}
