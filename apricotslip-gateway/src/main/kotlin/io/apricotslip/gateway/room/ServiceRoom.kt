package io.apricotslip.gateway.room

import io.apricotslip.api.id.RequestTrait
import io.apricotslip.api.id.ServiceId
import io.apricotslip.gateway.exchange.ExchangeContext
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.limit.TrafficShare
import io.apricotslip.serving.room.RoomBudget
import io.apricotslip.serving.room.RoomPlaces
import io.apricotslip.serving.room.RoomQueue
import io.apricotslip.serving.room.RoomRequest
import io.apricotslip.serving.room.RoomReturns
import io.apricotslip.serving.room.ToldReturns
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * The requests of this node for [service] that wait for a place at its servers, and those that have one.
 *
 * Waiting requests are tried again when a place may have become free: when a request ends, when the figures of the
 * other nodes are applied, and at the one time at which the first of them changes.
 *
 * @param share the part of the fleet's requests for [service] that this node receives.
 */
internal class ServiceRoom(
    private val service: ServiceId,
    private val context: ExchangeContext,
    private val share: () -> TrafficShare,
) {
    private val queue = RoomQueue<RoomPlace>()
    private val returns = RoomReturns()
    private var meanTokens = 0.0
    private var updatedAt = Long.MIN_VALUE / 2
    private var pumping = false
    private var wakeUp: Future<*>? = null
    private var wakeUpAt = Long.MAX_VALUE

    val budget = RoomBudget()

    /** Requests that were refused here and told when to return. */
    val toldReturns = ToldReturns<RequestTrait>()

    /** The waiting requests, in no particular order. */
    val waiting: List<RoomPlace>
        get() = queue.items

    /** Records a request that needs [tokens] of a KV cache, before it waits. */
    fun recordArrival(place: RoomPlace, tokens: Int) {
        if (context.now() - updatedAt > UPDATE_MILLIS) update()
        meanTokens = if (meanTokens == 0.0) tokens.toDouble() else meanTokens + (tokens - meanTokens) * SMOOTHING_FACTOR
        budget.recordArrival(place.rank, context.now())
    }

    /** Lets [place] wait; it may get its place, or be refused, before this returns. */
    fun offer(place: RoomPlace, request: RoomRequest) {
        queue.offer(place, request, context.now()).forEach { refuse(it.item, "queue_full") }
        pump()
        if (!pumping) refuseIfTooLate(place, request)
    }

    /** Refuses [place] at once if the requests ahead of it need more time than it has. */
    private fun refuseIfTooLate(place: RoomPlace, request: RoomRequest) {
        val now = context.now()
        val ahead = queue.countAhead(place, now) ?: return
        if (budget.mayStart(request.rank, ahead, request.startBy, now)) return
        queue.remove(place)
        refuse(place, "queue_ahead", taken = request.startBy - now)
    }

    /** Lets [ticket], whose place is of no use at any server, wait until [notBefore] at least. */
    fun putBack(ticket: RoomQueue.Ticket<RoomPlace>, notBefore: Long) {
        queue.putBack(ticket, notBefore)
        pump()
    }

    fun remove(place: RoomPlace) = queue.remove(place)

    /** Gives places to the requests that are next, and refuses those that waited too long. */
    fun pump() {
        if (pumping) return
        pumping = true
        try {
            while (true) {
                val now = context.now()
                val next = queue.next(now) { budget.available(it, now) || hasNoServer(now) } ?: break
                next.item.onPlace(next)
            }
            queue.expire(context.now()).forEach { refuse(it.item, "no_room") }
        } finally {
            pumping = false
        }
        schedule()
    }

    /** Applies what the other nodes reported; must be called at each tick. */
    fun tick() {
        update()
        pump()
    }

    /** Without a server there is nothing to wait for here; what becomes of requests is decided as without a queue. */
    private fun hasNoServer(now: Long) = context.servers.fleet.usable(service, now).isEmpty()

    private fun update() {
        val now = context.now()
        updatedAt = now
        val servers = context.servers.fleet.usable(service, now)
        val others = servers.sumOf { it.totalUtilization().running - it.localUtilization.running }
        budget.update(places(servers, now), others, share())
    }

    private fun places(servers: List<Server>, now: Long): Double {
        val state = context.desiredState() ?: return 0.0
        val engine = state.services[service]?.engine
        if (engine != null) return RoomPlaces.ofEngines(servers, engine, meanTokens)
        val routes = state.routes.filter { route -> route.targets.any { it.service == service } }
        val targetMillis = routes.minOfOrNull { it.targetLatencyMillis } ?: return 0.0
        return RoomPlaces.ofPlainServers(servers, targetMillis, budget.workMillis(now))
    }

    /** Refuses [place] for [reason]; for [taken] milliseconds all places are needed for the requests that wait. */
    private fun refuse(place: RoomPlace, reason: String, taken: Long = 0) =
        place.onRefused(reason, returns.nextDelayMillis(place.rank, budget, context.now(), taken))

    private fun schedule() {
        val now = context.now()
        val at = queue.nextChangeAt(now)?.coerceAtLeast(now + 1) ?: return
        if (wakeUpAt in now + 1..at) return
        wakeUp?.cancel(false)
        wakeUpAt = at
        wakeUp = context.loop.schedule(::onWakeUp, at - now, TimeUnit.MILLISECONDS)
    }

    private fun onWakeUp() {
        wakeUpAt = Long.MAX_VALUE
        pump()
    }

    private companion object {
        /** Until the first tick the budget is made from what is known when a request arrives. */
        const val UPDATE_MILLIS = 1_000L
        const val SMOOTHING_FACTOR = 0.02
    }
}
