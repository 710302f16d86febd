package io.apricotslip.gateway.room

import io.apricotslip.api.id.ServiceId
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.exchange.ExchangeContext
import io.apricotslip.gateway.exchange.Placement
import io.apricotslip.gateway.exchange.RequestMetadata
import io.apricotslip.gateway.exchange.RequestOwner
import io.apricotslip.gateway.exchange.RequestTraits
import io.apricotslip.serving.placement.PlacementDecision
import io.apricotslip.serving.room.RoomQueue
import io.apricotslip.serving.room.RoomRequest
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.workspace.RequestRank

/**
 * The place of one request at the servers of its service: it waits for one, has one, or needs none.
 *
 * @param room where requests wait; null when the desired state has no workspaces, so that none waits.
 * @param handler the request that waits.
 */
internal class RoomPlace(
    private val context: ExchangeContext,
    private val room: ServiceRoom?,
    val owner: RequestOwner,
    private val traits: RequestTraits,
    private val needs: Needs,
    private val handler: Handler,
) {
    /** What a request needs; [dueAt] is when its answer must begin to be within the latency objective. */
    class Needs(val dueAt: Long, val deadlineAt: Long, val bytes: Int, val tokens: Int) {
        companion object {
            /** What [request] needs, whose answer is due by the objective of [route]. */
            fun of(request: CallerRequest, route: Route, metadata: RequestMetadata, deadlineAt: Long) = Needs(
                dueAt = request.arrivedAt + route.targetLatencyMillis,
                deadlineAt = deadlineAt,
                bytes = request.body.readableBytes(),
                tokens = metadata.promptTokens + metadata.maxOutputTokens,
            )
        }
    }

    /** A request that waits for a place. */
    interface Handler {
        /** The request has a place and selects a server. */
        fun onPlace()

        /** The request gets no place, for [reason]; there should be one after [retryAfterMillis]. */
        fun onNoPlace(reason: String, retryAfterMillis: Long)

        fun log(event: String, detail: String)
    }

    private var ticket: RoomQueue.Ticket<RoomPlace>? = null
    private var arrived = false
    private var held = false
    private var heldSince = 0L
    private var waitsSince = 0L
    private var waitsFor = "place"
    private var answered = false
    private var ended = false

    val rank: RequestRank
        get() = owner.rank

    /** Whether the request may select a server now. */
    val isHeld: Boolean
        get() = room == null || held

    /**
     * Takes a place at once, unless the request [waits] for its turn, as it is under way nowhere; then it goes on once
     * it has one, which may be before this returns. Returns whether it has been taken.
     */
    fun tryTake(waits: Boolean): Boolean {
        val room = room ?: return true
        arrive(room)
        if (waits) enqueue(room) else hold()
        return !waits
    }

    private fun enqueue(room: ServiceRoom) {
        val now = context.now()
        waitsSince = now
        val answerMillis = room.budget.answerMillis ?: 0.0
        val request = RoomRequest(
            rank = rank,
            workspace = owner.workspaceId,
            weight = owner.workspace?.allowance?.perSecond ?: 1.0,
            // The digest of the request is worth its cost only if the request may have to wait.
            returning = !room.budget.available(rank, now) && room.toldReturns.take(traits.whole, now),
            startBy = minOf(needs.dueAt - answerMillis.toLong(), needs.deadlineAt),
            bytes = needs.bytes,
        )
        room.offer(this, request)
    }

    /**
     * Gives the place back and waits again if [decision] is that no server has room yet and none has been asked, by
     * [progress]; returns whether it does.
     */
    fun putBack(decision: PlacementDecision, progress: Placement.Progress): Boolean {
        val millis = waitMillis(decision)
        val last = ticket
        if (room == null || last == null || millis == null) return false
        if (!held || progress != Placement.Progress.NEW) return false
        held = false
        waitsFor = "server"
        room.budget.recordEnd(rank, heldMillis = null, context.now())
        room.putBack(last, context.now() + millis)
        return true
    }

    /** After which time a server may have room, by [decision]; null if that is not what it says. */
    private fun waitMillis(decision: PlacementDecision): Long? = when (decision) {
        is PlacementDecision.Wait -> decision.millis
        is PlacementDecision.Refuse ->
            FULL_POLL_MILLIS.takeIf { decision.reason == PlacementDecision.Reason.OVERLOADED }
        is PlacementDecision.Send, is PlacementDecision.LoadAdapter -> null
    }

    /** Records that the answer began [millisSinceSend] after the request was sent. */
    fun onAnswer(millisSinceSend: Long) {
        answered = true
        room?.budget?.recordAnswer(millisSinceSend)
    }

    /** Records that the caller was told to return after [delayMillis]. */
    fun onToldToReturn(delayMillis: Long) {
        if (delayMillis > 0) room?.toldReturns?.record(traits.whole, delayMillis, context.now())
    }

    /** Ends the wait, or gives the place back. */
    fun end() {
        if (ended || room == null) return
        ended = true
        room.remove(this)
        if (!held) return
        held = false
        val now = context.now()
        room.budget.recordEnd(rank, (now - heldSince).takeIf { answered }, now)
        room.pump()
    }

    /** Handles that the request has got a place. */
    fun onPlace(ticket: RoomQueue.Ticket<RoomPlace>) {
        this.ticket = ticket
        hold()
        val waited = context.now() - waitsSince
        if (waited > 0) {
            context.metrics.recordRoomWait(owner.enginePriority, waited)
            handler.log(
                "waited",
                "rank=${rank.workspace}/${rank.route} waited_ms=$waited for=$waitsFor " +
                    "returning=${ticket.request.returning}",
            )
        }
        handler.onPlace()
    }

    /** Handles that the request gets no place, for [reason]. */
    fun onRefused(reason: String, retryAfterMillis: Long) {
        context.metrics.recordRoomRefusal(reason, owner.enginePriority)
        handler.log(
            "no_place",
            "rank=${rank.workspace}/${rank.route} waited_ms=${context.now() - waitsSince} for=$waitsFor reason=$reason",
        )
        handler.onNoPlace(reason, retryAfterMillis)
    }

    private fun arrive(room: ServiceRoom) {
        if (arrived) return
        arrived = true
        room.recordArrival(this, needs.tokens)
    }

    private fun hold() {
        held = true
        heldSince = context.now()
        room?.budget?.recordStart(rank)
    }

    companion object {
        /** A small part of the time that a request runs, after which another server may look better. */
        const val FULL_POLL_MILLIS = 40L

        /** The place of [request] at the servers of [service]. */
        fun of(
            context: ExchangeContext,
            request: CallerRequest,
            service: ServiceId,
            needs: Needs,
            traits: RequestTraits,
            handler: Handler,
        ): RoomPlace {
            val room = if (request.owner.identity == null) null else context.rooms.of(service)
            return RoomPlace(context, room, request.owner, traits, needs, handler)
        }
    }
}
