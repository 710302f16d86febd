package io.apricotslip.safety

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId

/**
 * An owner's request to evict [adapter] from [server], or to load it where the load may evict another adapter. Holds
 * the consents received so far.
 */
public class EvictTicket internal constructor(
    public val server: BackendServerId,
    public val adapter: AdapterVersion,
    internal val revision: ListRevision,
) {
    internal val engineAdapter = EngineAdapter(server, adapter)

    /** When each consent request was sent (nanoseconds of the monotonic clock), by request number. */
    internal val requestTimes = LinkedHashMap<Long, Long>()

    /** Number of the newest request that each VM consented to. */
    internal val consents = HashMap<VmId, Long>()

    /** Number of the newest request that each VM refused. */
    internal val refusals = HashMap<VmId, Long>()

    internal var state: TicketState = TicketState.GatheringConsents

    /** Number of the newest consent request for this ticket; `order` of the peer messages. */
    public val requestNumber: Long get() = requestTimes.keys.last()

    internal fun requestSent(requestNumber: Long, now: Long) {
        requestTimes[requestNumber] = now
    }

    /** Records the answer of [from] to the request [requestNumber]; only the newest answer of a VM counts. */
    internal fun recordAnswer(from: VmId, requestNumber: Long, consent: Boolean) {
        val newest = maxOf(consents[from] ?: 0, refusals[from] ?: 0)
        if (requestNumber < newest) return
        val (target, other) = if (consent) consents to refusals else refusals to consents
        target[from] = requestNumber
        other.remove(from)
    }

    /** Whether [vm] consented to a request that was sent less than [leaseNanos] ago. */
    internal fun hasFreshConsent(vm: VmId, leaseNanos: Long, now: Long): Boolean {
        val requestedAt = requestTimes[consents[vm]] ?: return false
        return now - requestedAt < leaseNanos
    }

    /** Whether this ticket's unanswered order can no longer take effect once [later] was acknowledged: rule 8. */
    internal fun fencedBy(later: OrderHandle): Boolean {
        val unanswered = state as? TicketState.Unanswered ?: return false
        return unanswered.fenceChecked && server == later.server && later.number > unanswered.ordersGiven
    }
}

/** State of an [EvictTicket]. */
internal sealed class TicketState {
    /** Waiting for the consents of the other VMs. */
    data object GatheringConsents : TicketState()

    /** The order was written to the socket. */
    data object OrderSent : TicketState()

    /**
     * The answer to the order was lost, so its outcome is unknown.
     *
     * @property fenceChecked whether the engine rejects orders with an older fencing token.
     * @property ordersGiven number of orders given to the engine when the answer was found lost, including this one.
     */
    data class Unanswered(val fenceChecked: Boolean, val ordersGiven: Long) : TicketState()

    /** The order was acknowledged or refused, or the ticket was abandoned before sending. */
    data object Closed : TicketState()
}

/** An adapter on one engine; key of consents, tickets and use counts. */
internal data class EngineAdapter(val server: BackendServerId, val adapter: AdapterVersion)

/** A ticket and the consent requests to send for it. */
public data class ConsentRequest(public val ticket: EvictTicket, public val envelopes: List<Envelope>)
