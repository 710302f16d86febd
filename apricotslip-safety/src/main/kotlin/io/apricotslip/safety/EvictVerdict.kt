package io.apricotslip.safety

import io.apricotslip.api.id.VmId

/** Whether the order of an [EvictTicket] may be given. Valid only in the event loop turn in which it was obtained. */
public sealed class EvictVerdict {
    /** The order may be written to the socket in this turn. */
    public data object Ready : EvictVerdict()

    /**
     * Consents or evidence are still missing.
     *
     * @property missing VMs that have sent neither a pass nor a recent consent.
     * @property evidence what engine reports show of VMs that are no longer on any list: rule 5.
     */
    public data class Waiting(public val missing: Set<VmId>, public val evidence: Evidence) : EvictVerdict()

    /**
     * The order must not be given for this ticket: [by] uses the adapter or has another list. Close the ticket with
     * [EvictGuard.closeTicket].
     */
    public data class Refused(public val by: VmId) : EvictVerdict()
}

/** What engine reports show of streams left by VMs that are on no list, or that have restarted. */
public sealed class Evidence {
    /** The engine must first acknowledge an order of this VM. */
    public data object OrderNeeded : Evidence()

    /** A report with a sequence of at least [sequence] is needed. */
    public data class ReportNeeded(public val sequence: Long) : Evidence()

    /** The newest conclusive report shows [running] requests on the adapter, more than this VM runs. */
    public data class InUse(public val running: Int) : Evidence()

    /** The newest conclusive report shows no requests on the adapter beyond those of this VM. */
    public data object Idle : Evidence()
}
