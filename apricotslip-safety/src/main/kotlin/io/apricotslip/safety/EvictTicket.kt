package io.apricotslip.safety

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId

/** One wish of an owner to evict [adapter] from [server], or to load it where a load may evict. */
public class EvictTicket internal constructor(
    public val server: BackendServerId,
    public val adapter: AdapterVersion,
    internal val revision: ListRevision,
) {
    internal val slot = AdapterSlot(server, adapter)
    internal val asks = LinkedHashMap<Long, Long>()
    internal val consents = HashMap<VmId, Long>()
    internal val refusals = HashMap<VmId, Long>()
    internal var state: TicketState = TicketState.Asking

    /** Number of the newest ask for this ticket. */
    public val order: Long get() = asks.keys.last()

    internal fun asked(order: Long, now: Long) {
        asks[order] = now
    }

    /** Takes the answer of [from] to the ask numbered [order]; only the newest answer of a VM counts. */
    internal fun answered(from: VmId, order: Long, consent: Boolean) {
        val newest = maxOf(consents[from] ?: 0, refusals[from] ?: 0)
        if (order < newest) return
        val (taken, other) = if (consent) consents to refusals else refusals to consents
        taken[from] = order
        other.remove(from)
    }

    /** Whether [vm] consented to an ask that was sent less than [leaseNanos] ago. */
    internal fun freshConsent(vm: VmId, leaseNanos: Long, now: Long): Boolean {
        val askedAt = asks[consents[vm]] ?: return false
        return now - askedAt < leaseNanos
    }

    /** Whether the lost order of this ticket can no longer act once the order of [mark] was acknowledged: rule 8. */
    internal fun shutOutBy(mark: OrderHandle): Boolean {
        val lost = state as? TicketState.Unanswered ?: return false
        return lost.fenceChecked && server == mark.server && mark.number > lost.orders
    }
}

/** Where an [EvictTicket] stands. */
internal sealed class TicketState {
    /** Consents are being gathered. */
    data object Asking : TicketState()

    /** The order was handed to the socket. */
    data object Sent : TicketState()

    /** The answer was lost. [orders] counts the orders given before it was. */
    data class Unanswered(val fenceChecked: Boolean, val orders: Long) : TicketState()

    /** Acknowledged or given up. */
    data object Closed : TicketState()
}

/** An adapter on an engine. */
internal data class AdapterSlot(val server: BackendServerId, val adapter: AdapterVersion)

/** A ticket and the asks to send for it. */
public data class ConsentRequest(public val ticket: EvictTicket, public val envelopes: List<Envelope>)
