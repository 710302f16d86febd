package io.apricotslip.safety

import io.apricotslip.api.id.VmId

/** Whether the order of an [EvictTicket] may be given. Holds for the turn of the event loop in which it was taken. */
public sealed class EvictVerdict {
    /** The order may be handed to the socket in this turn. */
    public data object Ready : EvictVerdict()

    /**
     * Not yet.
     *
     * @property missing VMs without pass and fresh consent.
     * @property evidence what is known of VMs that are on no list any more: rule 5.
     */
    public data class Waiting(public val missing: Set<VmId>, public val evidence: Evidence) : EvictVerdict()

    /** Not with this ticket: [by] uses the adapter, or has another list. Close the ticket with `closeTicket`. */
    public data class Refused(public val by: VmId) : EvictVerdict()
}

/** What reports say of streams of VMs that are on no list, or that were restarted. */
public sealed class Evidence {
    /** An order must be acknowledged first. */
    public data object OrderNeeded : Evidence()

    /** A report with a sequence of at least [sequence] is needed. */
    public data class ReportNeeded(public val sequence: Long) : Evidence()

    /** The newest such report shows [running] requests on the adapter. */
    public data class InUse(public val running: Int) : Evidence()

    /** The newest such report shows the adapter idle. */
    public data object Idle : Evidence()
}
