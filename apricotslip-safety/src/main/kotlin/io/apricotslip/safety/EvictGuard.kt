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
 * Decides for all engines when this VM may start requests and load or evict adapters, so that no adapter in use is
 * evicted: rules 4, 5, 8 and 9 of docs/DESIGN.md.
 *
 * Not thread-safe. A decision is valid only in the event loop turn in which it was made: obtain it, write the request
 * or order to the socket and call [requestStarted] or [orderSent] in the same turn.
 *
 * @param incarnation incarnation of this process; must increase with each restart of the VM, as milliseconds since 1970
 * do.
 */
public class EvictGuard(
    public val self: VmId,
    private val membership: Membership,
    private val incarnation: Incarnation = Incarnation(0),
) {
    private val use = UseCounts()
    private val consents = EvictConsents()
    private val passes = Passes()
    private val tickets = HashMap<EngineAdapter, EvictTicket>()
    private val reports = ForeignUse(membership)
    private val leaseNanos = membership.leaseNanos
    private var lastTenured: VmList? = null
    private var lastRequestNumber = (incarnation.value shl REQUEST_NUMBER_BITS) and Long.MAX_VALUE

    /** Engines with an order whose outcome is unknown. The caller must keep polling their reports for a restart. */
    public val serversWithUnansweredOrders: Set<BackendServerId>
        get() = tickets.values.filter { it.state is TicketState.Unanswered }.map { it.server }.toSet()

    /** Whether a request on [adapter] may be sent to [server] at [now]. */
    public fun mayStart(server: BackendServerId, adapter: AdapterVersion, now: Long): Boolean {
        refresh(now)
        val engineAdapter = EngineAdapter(server, adapter)
        return membership.inRanking(server, now) &&
            membership.leaseHeld(now) &&
            !consents.isBlocked(engineAdapter) &&
            tickets[engineAdapter]?.state.let { it == null || it == TicketState.GatheringConsents }
    }

    /**
     * Whether an adapter may be loaded into a free slot of [server] without consent. For engines that evict when full,
     * use [requestLoadConsent].
     */
    public fun mayLoad(server: BackendServerId, whenFull: WhenFull, now: Long): Boolean = membership.leaseHeld(now) &&
        when (whenFull) {
            WhenFull.REFUSES -> membership.inRanking(server, now)
            WhenFull.EVICTS -> false
        }

    /** Records that [request] was sent to [server]. */
    public fun requestStarted(server: BackendServerId, adapter: AdapterVersion, request: RequestId) {
        use.started(EngineAdapter(server, adapter), request)
    }

    /** Records that [request] ended on [server]: finished, refused before work, or its cancellation acknowledged. */
    public fun requestEnded(server: BackendServerId, adapter: AdapterVersion, request: RequestId) {
        use.ended(EngineAdapter(server, adapter), request)
    }

    /** Returns the passes for [servers] that are due to their owners; each is repeated once per lease time. */
    public fun passesDue(servers: List<BackendServerId>, now: Long): List<Envelope> {
        refresh(now)
        val tenured = membership.tenured ?: return emptyList()
        return servers
            .filter {
                !membership.inRanking(it, now) && use.isIdle(it) && passes.recordIfDue(it, tenured, leaseNanos, now)
            }
            .mapNotNull { server ->
                membership.owner(server)?.let { Envelope(it, Pass(server, tenured.revision, incarnation)) }
            }
    }

    /**
     * Requests the consent of the other VMs to evict [adapter] from [server]. If a ticket for it is already open,
     * returns that without sending anything.
     */
    public fun requestEvictConsent(server: BackendServerId, adapter: AdapterVersion, now: Long): ConsentRequest {
        refresh(now)
        val engineAdapter = EngineAdapter(server, adapter)
        val open = tickets[engineAdapter]
        if (open != null) return ConsentRequest(open, emptyList())
        val ticket = EvictTicket(server, adapter, membership.list.revision)
        tickets[engineAdapter] = ticket
        ticket.requestSent(++lastRequestNumber, now)
        return ConsentRequest(ticket, if (mayOrder(ticket, now)) consentRequests(ticket, now) else emptyList())
    }

    /**
     * Requests the consent of the other VMs to load [adapter] into [server], an engine that evicts another adapter when
     * full. Call it only when this VM's count of resident and loading adapters leaves a slot free.
     */
    public fun requestLoadConsent(server: BackendServerId, adapter: AdapterVersion, now: Long): ConsentRequest =
        requestEvictConsent(server, adapter, now)

    /** Handles a [Pass], [EvictAsk], [EvictAnswer] or [EvictDone] from the VM [from] and returns the answers. */
    public fun receive(from: VmId, message: SafetyMessage, now: Long): List<Envelope> {
        refresh(now)
        return when (message) {
            is Pass -> onPass(from, message)
            is EvictAsk -> onEvictAsk(from, message, now)
            is EvictAnswer -> onEvictAnswer(from, message)
            is EvictDone -> onEvictDone(from, message)
            else -> emptyList()
        }
    }

    /** Whether the order of [ticket] may be given in this turn of the event loop. */
    public fun verdict(ticket: EvictTicket, now: Long): EvictVerdict {
        refresh(now)
        if (ticket.state != TicketState.GatheringConsents || !mayOrder(ticket, now)) return EvictVerdict.Refused(self)
        if (use.count(ticket.engineAdapter) > 0) return EvictVerdict.Refused(self)
        ticket.refusals.keys.firstOrNull { it in membership.others }?.let { return EvictVerdict.Refused(it) }
        val missing = vmsWithoutConsent(ticket, now)
        val evidence = reports[ticket.server].evidence(ticket.adapter, use.count(ticket.engineAdapter), reports.epoch)
        val ready = missing.isEmpty() && evidence == Evidence.Idle
        return if (ready) EvictVerdict.Ready else EvictVerdict.Waiting(missing, evidence)
    }

    /**
     * Repeats consent requests whose answers are missing or too old, and the consents granted by this VM that no
     * requester has closed.
     */
    public fun retryConsentRequests(now: Long): List<Envelope> {
        refresh(now)
        val due = tickets.values.filter { it.state == TicketState.GatheringConsents && retryDue(it, now) }
        return due.flatMap { ticket ->
            ticket.requestSent(++lastRequestNumber, now)
            consentRequests(ticket, now)
        } + consents.takeDue(now - leaseNanos, now).map { (engineAdapter, requester, consent) ->
            Envelope(requester, answer(engineAdapter, consent.requestNumber, consent.revision, consent = true))
        }
    }

    /** Records that the order of [ticket] was sent, in the same turn in which [verdict] was [EvictVerdict.Ready]. */
    public fun orderSent(ticket: EvictTicket) {
        ticket.state = TicketState.OrderSent
    }

    /**
     * Closes [ticket] after the engine acknowledged or refused its order, or to abandon it before sending. Returns the
     * messages that release the consents.
     */
    public fun closeTicket(ticket: EvictTicket): List<Envelope> {
        if (ticket.state == TicketState.Closed) return emptyList()
        ticket.state = TicketState.Closed
        tickets.remove(ticket.engineAdapter)
        return membership.others.map { Envelope(it, EvictDone(ticket.server, ticket.adapter, ticket.requestNumber)) }
    }

    /**
     * Records that the answer to the order of [ticket] was lost: rule 8. Requests on the adapter stay blocked there.
     *
     * @param fenceChecked whether the engine rejects orders with an older fencing token.
     */
    public fun markUnanswered(ticket: EvictTicket, fenceChecked: Boolean) {
        ticket.state = TicketState.Unanswered(fenceChecked, reports[ticket.server].orderCount)
    }

    /**
     * Records that a report of [server] shows a new incarnation of the engine. Orders to the previous one can no longer
     * take effect, so their tickets are closed.
     */
    public fun engineRestarted(server: BackendServerId): List<Envelope> {
        reports[server].engineRestarted()
        return tickets.values
            .filter { it.server == server && it.state is TicketState.Unanswered }
            .flatMap { closeTicket(it) }
    }

    /** Records that an order (load or evict) is sent. Pass the handle to [orderAcknowledged]. */
    public fun recordOrder(server: BackendServerId): OrderHandle = reports[server].recordOrder(server, reports.epoch)

    /**
     * Records that [order] was acknowledged with [sequence]. On engines that check the fencing token, older orders can
     * then no longer take effect, so their tickets are closed.
     */
    public fun orderAcknowledged(order: OrderHandle, sequence: Long): List<Envelope> {
        reports[order.server].orderAcknowledged(order, sequence)
        return tickets.values.filter { it.fencedBy(order) }.flatMap { closeTicket(it) }
    }

    /**
     * Records a report of [server]. Poll an engine's reports one at a time.
     *
     * @param running number of running requests per adapter.
     */
    public fun reportReceived(
        server: BackendServerId,
        incarnation: Incarnation,
        sequence: Long,
        running: Map<AdapterVersion, Int>,
    ) {
        reports[server].reportReceived(incarnation, sequence, running)
    }

    /** Requests of other VMs per adapter: what the newest report of [server] shows beyond this VM's own requests. */
    public fun foreignUse(server: BackendServerId): Map<AdapterVersion, Int> = reports[server]
        .newestUse
        .mapValues { (adapter, running) -> running - use.count(EngineAdapter(server, adapter)) }
        .filterValues { it > 0 }

    /**
     * Whether [server] has acknowledged an order of this tenure. Older orders can then no longer take effect there if
     * it checks the fencing token.
     */
    public fun olderOrdersFenced(server: BackendServerId): Boolean = reports[server].hasAcknowledgedOrder(reports.epoch)

    private fun onPass(from: VmId, message: Pass): List<Envelope> {
        reports.recordIncarnation(from, message.incarnation)
        passes.recordReceived(from, message.server, message.listRevision)
        return emptyList()
    }

    private fun onEvictAsk(from: VmId, message: EvictAsk, now: Long): List<Envelope> {
        if (consents.isOutdated(from, message.order)) return emptyList()
        val engineAdapter = EngineAdapter(message.server, message.adapter)
        val list = membership.list
        val consent = message.listRevision == list.revision && list[from] != null && use.count(engineAdapter) == 0
        if (consent) consents.grant(engineAdapter, from, GrantedConsent(message.order, list.revision, now))
        return listOf(Envelope(from, answer(engineAdapter, message.order, list.revision, consent)))
    }

    /** Answers a consent to a request that is no longer open with [EvictDone], as it may still be in effect there. */
    private fun onEvictAnswer(from: VmId, message: EvictAnswer): List<Envelope> {
        reports.recordIncarnation(from, message.incarnation)
        val ticket = tickets[EngineAdapter(message.server, message.adapter)]
        if (ticket != null && message.order in ticket.requestTimes) {
            val consent = message.consent && message.listRevision == ticket.revision
            ticket.recordAnswer(from, message.order, consent)
            return emptyList()
        }
        if (!message.consent || membership.tenured == null) return emptyList()
        return listOf(Envelope(from, EvictDone(message.server, message.adapter, message.order)))
    }

    private fun onEvictDone(from: VmId, message: EvictDone): List<Envelope> {
        consents.release(EngineAdapter(message.server, message.adapter), from, message.order)
        return emptyList()
    }

    private fun mayOrder(ticket: EvictTicket, now: Long): Boolean =
        membership.roleFor(ticket.server, now) == Role.Owner &&
            membership.leaseHeld(now) &&
            membership.rolesUpToDate(now) &&
            membership.list.revision == ticket.revision

    private fun vmsWithoutConsent(ticket: EvictTicket, now: Long): Set<VmId> = membership.others
        .filterNot { passes.hasPass(it, ticket.server, ticket.revision) || ticket.hasFreshConsent(it, leaseNanos, now) }
        .toSet()

    private fun consentRequests(ticket: EvictTicket, now: Long): List<Envelope> = vmsWithoutConsent(ticket, now).map {
        Envelope(it, EvictAsk(ticket.server, ticket.adapter, ticket.requestNumber, ticket.revision))
    }

    private fun retryDue(ticket: EvictTicket, now: Long): Boolean =
        now - ticket.requestTimes.values.last() >= leaseNanos / RETRIES_PER_LEASE &&
            mayOrder(ticket, now) &&
            vmsWithoutConsent(ticket, now).isNotEmpty()

    private fun answer(
        engineAdapter: EngineAdapter,
        requestNumber: Long,
        revision: ListRevision,
        consent: Boolean,
    ): EvictAnswer =
        EvictAnswer(engineAdapter.server, engineAdapter.adapter, requestNumber, revision, consent, incarnation)

    /** Updates [membership] to [now], and releases consents of departed VMs when the tenured list has changed. */
    private fun refresh(now: Long) {
        membership.rolesUpToDate(now)
        val tenured = membership.tenured
        if (tenured === lastTenured) return
        lastTenured = tenured
        tenured?.let { consents.releaseDeparted(it) }
    }

    private companion object {
        /** Numbers start at the incarnation shifted by this, so that they increase across restarts too. */
        const val REQUEST_NUMBER_BITS = 20
        const val RETRIES_PER_LEASE = 4
    }
}
