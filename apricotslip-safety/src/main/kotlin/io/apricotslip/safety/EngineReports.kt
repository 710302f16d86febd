package io.apricotslip.safety

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.Incarnation

/** Identifies one order to [server], so that its acknowledgement is not mistaken for that of an older order. */
public class OrderHandle internal constructor(
    public val server: BackendServerId,
    internal val number: Long,
    internal val epoch: EvidenceEpoch,
    internal val incarnation: Incarnation?,
)

/**
 * The period in which evidence is valid: one tenure of this VM and one incarnation of each peer.
 *
 * @property tenureEpoch [Membership.tenureEpoch] when the evidence was obtained.
 * @property incarnationChanges how often a peer's incarnation was new or had changed until then.
 */
internal data class EvidenceEpoch(val tenureEpoch: Long, val incarnationChanges: Long)

/**
 * Evaluates the reports of one engine: rule 5 of docs/DESIGN.md. A report is evidence of what other VMs run there only
 * if it was made after an order that this VM gave after its tenure began and after the last restart seen of any peer.
 */
internal class EngineReports {
    private var lastOrderNumber = 0L
    private var incarnation: Incarnation? = null
    private var running: Map<AdapterVersion, Int> = emptyMap()
    private var ackSequence: Long? = null
    private var ackEpoch: EvidenceEpoch? = null
    private var reportSequence: Long? = null

    /** Number of orders given so far, which is also the number of the last one. */
    val orderCount: Long get() = lastOrderNumber

    /** Running requests per adapter according to the newest report. */
    val newestUse: Map<AdapterVersion, Int> get() = running

    fun recordOrder(server: BackendServerId, epoch: EvidenceEpoch): OrderHandle =
        OrderHandle(server, ++lastOrderNumber, epoch, incarnation)

    /** Whether the engine has acknowledged an order of [epoch]. */
    fun hasAcknowledgedOrder(epoch: EvidenceEpoch): Boolean = ackSequence != null && ackEpoch == epoch

    /** Records the first acknowledgement of an epoch; later reports count from its [sequence]. */
    fun orderAcknowledged(order: OrderHandle, sequence: Long) {
        val known = incarnation ?: return
        if (order.incarnation != known || order.epoch == ackEpoch) return
        ackSequence = sequence
        ackEpoch = order.epoch
        reportSequence = null
    }

    /** Records a report; reports older than the newest are ignored, and a new incarnation discards the former state. */
    fun reportReceived(engine: Incarnation, sequence: Long, counts: Map<AdapterVersion, Int>) {
        if (engine != incarnation) engineRestarted()
        val newest = reportSequence
        if (newest != null && sequence < newest) return
        incarnation = engine
        reportSequence = sequence
        running = counts
    }

    /** Discards all acknowledgements and reports of the previous incarnation of the engine. */
    fun engineRestarted() {
        incarnation = null
        running = emptyMap()
        ackSequence = null
        ackEpoch = null
        reportSequence = null
    }

    /** What is known of requests on [adapter] beyond the [ownCount] requests of this VM. */
    fun evidence(adapter: AdapterVersion, ownCount: Int, epoch: EvidenceEpoch): Evidence {
        val acknowledged = ackSequence
        if (acknowledged == null || ackEpoch != epoch) return Evidence.OrderNeeded
        val report = reportSequence
        if (report == null || report < acknowledged) return Evidence.ReportNeeded(acknowledged)
        val use = running[adapter] ?: 0
        return if (use > ownCount) Evidence.InUse(use) else Evidence.Idle
    }
}
