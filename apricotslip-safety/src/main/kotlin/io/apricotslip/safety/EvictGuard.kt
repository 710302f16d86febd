package io.apricotslip.safety

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.manifest.WhenFull
import io.apricotslip.api.peer.SafetyMessage
import io.apricotslip.api.peer.SafetyMessage.EvictAnswer
import io.apricotslip.api.peer.SafetyMessage.EvictAsk
import io.apricotslip.api.peer.SafetyMessage.EvictDone
import io.apricotslip.api.peer.SafetyMessage.Pass

/**
 * Decides for all engines when this VM may start requests, load and evict: rules 4, 5, 8 and 9 of docs/DESIGN.md. Not
 * thread-safe. A decision holds for the turn of the event loop in which it was taken: take it, hand the request or
 * order to the socket and call [requestStarted] or [orderSent] in one turn.
 *
 * @param incarnation life of this process; must grow from life to life of the VM, as milliseconds since 1970 do.
 */
public class EvictGuard(
    public val self: VmId,
    private val membership: Membership,
    private val incarnation: Incarnation = Incarnation(0),
) {
    private val use = UseCounts()
    private val consents = EvictConsents()
    private val passes = Passes()
    private val tickets = HashMap<AdapterSlot, EvictTicket>()
    private val foreign = ForeignUse(membership)
    private val leaseNanos = membership.leaseNanos
    private var tenuredSeen: VmList? = null
    private var nextOrder = (incarnation.value shl ORDER_BITS) and Long.MAX_VALUE

    /** Engines with an order whose outcome is unknown; keep polling their reports for a restart. */
    public val unanswered: Set<BackendServerId>
        get() = tickets.values.filter { it.state is TicketState.Unanswered }.map { it.server }.toSet()

    /** Whether a request on [adapter] may be handed to [server] at [now]. */
    public fun mayStart(server: BackendServerId, adapter: AdapterVersion, now: Long): Boolean {
        observe(now)
        val slot = AdapterSlot(server, adapter)
        return membership.inRanking(server, now) &&
            membership.leaseHeld(now) &&
            !consents.blocked(slot) &&
            tickets[slot]?.state.let { it == null || it == TicketState.Asking }
    }

    /** Whether an adapter may be loaded into a free slot of [server]. Where a full engine evicts, see [requestLoadConsent]. */
    public fun mayLoad(server: BackendServerId, whenFull: WhenFull, now: Long): Boolean = membership.leaseHeld(now) &&
        when (whenFull) {
            WhenFull.REFUSES -> membership.inRanking(server, now)
            WhenFull.EVICTS -> false
        }

    /** [request] was handed to [server]. */
    public fun requestStarted(server: BackendServerId, adapter: AdapterVersion, request: RequestId) {
        use.started(AdapterSlot(server, adapter), request)
    }

    /** [request] has ended on [server]: finished, refused before work, or its cancellation was acknowledged. */
    public fun requestEnded(server: BackendServerId, adapter: AdapterVersion, request: RequestId) {
        use.ended(AdapterSlot(server, adapter), request)
    }

    /** Passes for [servers] to tell to their owners, anew once a lease time. */
    public fun passesDue(servers: List<BackendServerId>, now: Long): List<Envelope> {
        observe(now)
        val tenured = membership.tenured ?: return emptyList()
        return servers
            .filter { !membership.inRanking(it, now) && use.idle(it) && passes.due(it, tenured, leaseNanos, now) }
            .mapNotNull { server ->
                membership.owner(server)?.let { Envelope(it, Pass(server, tenured.revision, incarnation)) }
            }
    }

    /** Asks the other VMs for consent to evict [adapter] from [server]; an open ticket for it is returned as it is. */
    public fun requestEvictConsent(server: BackendServerId, adapter: AdapterVersion, now: Long): ConsentRequest {
        observe(now)
        val slot = AdapterSlot(server, adapter)
        val open = tickets[slot]
        if (open != null) return ConsentRequest(open, emptyList())
        val ticket = EvictTicket(server, adapter, membership.list.revision)
        tickets[slot] = ticket
        ticket.asked(++nextOrder, now)
        return ConsentRequest(ticket, if (eligible(ticket, now)) asks(ticket, now) else emptyList())
    }

    /**
     * Asks the other VMs for consent to load [adapter] into [server], whose full engine would evict another one. Ask
     * only when the own count of residents and loads leaves a slot free.
     */
    public fun requestLoadConsent(server: BackendServerId, adapter: AdapterVersion, now: Long): ConsentRequest =
        requestEvictConsent(server, adapter, now)

    /** Takes a [Pass], [EvictAsk], [EvictAnswer] or [EvictDone] of the VM [from] and answers it. */
    public fun receive(from: VmId, message: SafetyMessage, now: Long): List<Envelope> {
        observe(now)
        return when (message) {
            is Pass -> passed(from, message)
            is EvictAsk -> asked(from, message, now)
            is EvictAnswer -> answered(from, message)
            is EvictDone -> ended(from, message)
            else -> emptyList()
        }
    }

    /** Whether the order of [ticket] may be given in this turn of the event loop. */
    public fun verdict(ticket: EvictTicket, now: Long): EvictVerdict {
        observe(now)
        if (ticket.state != TicketState.Asking || !eligible(ticket, now)) return EvictVerdict.Refused(self)
        if (use.on(ticket.slot) > 0) return EvictVerdict.Refused(self)
        ticket.refusals.keys.firstOrNull { it in membership.others }?.let { return EvictVerdict.Refused(it) }
        val missing = missing(ticket, now)
        val evidence = foreign[ticket.server].evidence(ticket.adapter, use.on(ticket.slot), foreign.epoch)
        val ready = missing.isEmpty() && evidence == Evidence.Idle
        return if (ready) EvictVerdict.Ready else EvictVerdict.Waiting(missing, evidence)
    }

    /** Asks again where answers are missing or too old, and repeats own consents that nobody has ended. */
    public fun retryConsentRequests(now: Long): List<Envelope> {
        observe(now)
        val again = tickets.values.filter { it.state == TicketState.Asking && retryDue(it, now) }
        return again.flatMap { ticket ->
            ticket.asked(++nextOrder, now)
            asks(ticket, now)
        } + consents.due(now - leaseNanos, now).map { (slot, asker, consent) ->
            Envelope(asker, answer(slot, consent.order, consent.revision, consent = true))
        }
    }

    /** The order of [ticket] was handed to the socket, in the turn of a verdict of [EvictVerdict.Ready]. */
    public fun orderSent(ticket: EvictTicket) {
        ticket.state = TicketState.Sent
    }

    /** The engine acknowledged or refused the order of [ticket], or the ticket is given up before it was sent. */
    public fun closeTicket(ticket: EvictTicket): List<Envelope> {
        if (ticket.state == TicketState.Closed) return emptyList()
        ticket.state = TicketState.Closed
        tickets.remove(ticket.slot)
        return membership.others.map { Envelope(it, EvictDone(ticket.server, ticket.adapter, ticket.order)) }
    }

    /** The answer to the order of [ticket] was lost: rule 8. The adapter stays blocked there. */
    public fun markUnanswered(ticket: EvictTicket, fenceChecked: Boolean) {
        ticket.state = TicketState.Unanswered(fenceChecked, foreign[ticket.server].given)
    }

    /** A report of [server] shows a new life of the engine: orders to the former one are void. */
    public fun engineRestarted(server: BackendServerId): List<Envelope> {
        foreign[server].restarted()
        return tickets.values
            .filter { it.server == server && it.state is TicketState.Unanswered }
            .flatMap { closeTicket(it) }
    }

    /** An order (load or evict) is handed to the socket. Pass the mark back with its acknowledgement. */
    public fun recordOrder(server: BackendServerId): OrderHandle = foreign[server].recordOrder(server, foreign.epoch)

    /** [mark]'s order was acknowledged with [sequence]; on engines that check the fence, this shuts out older ones. */
    public fun orderAcknowledged(mark: OrderHandle, sequence: Long): List<Envelope> {
        foreign[mark.server].orderAcknowledged(mark, sequence)
        return tickets.values.filter { it.shutOutBy(mark) }.flatMap { closeTicket(it) }
    }

    /** A report of [server]: requests [running] on each adapter. Ask for reports one at a time. */
    public fun reportReceived(
        server: BackendServerId,
        incarnation: Incarnation,
        sequence: Long,
        running: Map<AdapterVersion, Int>,
    ) {
        foreign[server].reported(incarnation, sequence, running)
    }

    /** Requests that the newest report of [server] shows beyond the own ones, where there are any. */
    public fun foreignUse(server: BackendServerId): Map<AdapterVersion, Int> = foreign[server]
        .newest
        .mapValues { (adapter, running) -> running - use.on(AdapterSlot(server, adapter)) }
        .filterValues { it > 0 }

    /** Whether an order of this tenure was acknowledged by [server]: older ones are shut out if it checks the fence. */
    public fun olderOrdersFenced(server: BackendServerId): Boolean = foreign[server].acknowledged(foreign.epoch)

    private fun passed(from: VmId, message: Pass): List<Envelope> {
        foreign.learn(from, message.incarnation)
        passes.received(from, message.server, message.listRevision)
        return emptyList()
    }

    private fun asked(from: VmId, message: EvictAsk, now: Long): List<Envelope> {
        if (consents.outdated(from, message.order)) return emptyList()
        val slot = AdapterSlot(message.server, message.adapter)
        val list = membership.list
        val consent = message.listRevision == list.revision && list[from] != null && use.on(slot) == 0
        if (consent) consents.give(slot, from, StandingConsent(message.order, list.revision, now))
        return listOf(Envelope(from, answer(slot, message.order, list.revision, consent)))
    }

    /** An answer to an order that is no longer open is met with the end of it, for the consent may stand there. */
    private fun answered(from: VmId, message: EvictAnswer): List<Envelope> {
        foreign.learn(from, message.incarnation)
        val ticket = tickets[AdapterSlot(message.server, message.adapter)]
        if (ticket != null && message.order in ticket.asks) {
            val consent = message.consent && message.listRevision == ticket.revision
            ticket.answered(from, message.order, consent)
            return emptyList()
        }
        if (!message.consent || membership.tenured == null) return emptyList()
        return listOf(Envelope(from, EvictDone(message.server, message.adapter, message.order)))
    }

    private fun ended(from: VmId, message: EvictDone): List<Envelope> {
        consents.done(AdapterSlot(message.server, message.adapter), from, message.order)
        return emptyList()
    }

    private fun eligible(ticket: EvictTicket, now: Long): Boolean =
        membership.roleFor(ticket.server, now) == Role.Owner &&
            membership.leaseHeld(now) &&
            membership.settled(now) &&
            membership.list.revision == ticket.revision

    private fun missing(ticket: EvictTicket, now: Long): Set<VmId> = membership.others
        .filterNot { passes.holds(it, ticket.server, ticket.revision) || ticket.freshConsent(it, leaseNanos, now) }
        .toSet()

    private fun asks(ticket: EvictTicket, now: Long): List<Envelope> = missing(ticket, now).map {
        Envelope(it, EvictAsk(ticket.server, ticket.adapter, ticket.order, ticket.revision))
    }

    private fun retryDue(ticket: EvictTicket, now: Long): Boolean =
        now - ticket.asks.values.last() >= leaseNanos / RETRIES_PER_LEASE &&
            eligible(ticket, now) &&
            missing(ticket, now).isNotEmpty()

    private fun answer(slot: AdapterSlot, order: Long, revision: ListRevision, consent: Boolean): EvictAnswer =
        EvictAnswer(slot.server, slot.adapter, order, revision, consent, incarnation)

    private fun observe(now: Long) {
        membership.settled(now)
        val tenured = membership.tenured
        if (tenured === tenuredSeen) return
        tenuredSeen = tenured
        tenured?.let { consents.tenured(it) }
    }

    private companion object {
        const val ORDER_BITS = 20
        const val RETRIES_PER_LEASE = 4
    }
}
