package io.apricotslip.safety

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.Incarnation

/** Names one order to [server], so that its acknowledgement is not taken for that of an older one. */
public class OrderHandle internal constructor(
    public val server: BackendServerId,
    internal val number: Long,
    internal val epoch: EvidenceEpoch,
    internal val incarnation: Incarnation?,
)

/** Evidence counts only within one tenure and one life of each peer. */
internal data class EvidenceEpoch(val tenure: Long, val peers: Long)

/**
 * Rule 5 of docs/DESIGN.md for one engine: a report is evidence of what others run only when it follows an order that
 * was given after tenure began and after each peer was last seen to have restarted.
 */
internal class EngineReports {
    private var orders = 0L
    private var incarnation: Incarnation? = null
    private var running: Map<AdapterVersion, Int> = emptyMap()
    private var ackSequence: Long? = null
    private var ackEpoch: EvidenceEpoch? = null
    private var reportSequence: Long? = null

    /** Orders given so far. */
    val given: Long get() = orders

    /** What the newest report shows on each adapter. */
    val newest: Map<AdapterVersion, Int> get() = running

    fun recordOrder(server: BackendServerId, epoch: EvidenceEpoch): OrderHandle =
        OrderHandle(server, ++orders, epoch, incarnation)

    fun acknowledged(epoch: EvidenceEpoch): Boolean = ackSequence != null && ackEpoch == epoch

    fun orderAcknowledged(mark: OrderHandle, sequence: Long) {
        val known = incarnation ?: return
        if (mark.incarnation != known || mark.epoch == ackEpoch) return
        ackSequence = sequence
        ackEpoch = mark.epoch
        reportSequence = null
    }

    fun reported(engine: Incarnation, sequence: Long, use: Map<AdapterVersion, Int>) {
        if (engine != incarnation) restarted()
        val last = reportSequence
        if (last != null && sequence < last) return
        incarnation = engine
        reportSequence = sequence
        running = use
    }

    fun restarted() {
        incarnation = null
        running = emptyMap()
        ackSequence = null
        ackEpoch = null
        reportSequence = null
    }

    fun evidence(adapter: AdapterVersion, own: Int, epoch: EvidenceEpoch): Evidence {
        val ack = ackSequence
        if (ack == null || ackEpoch != epoch) return Evidence.OrderNeeded
        val report = reportSequence
        if (report == null || report < ack) return Evidence.ReportNeeded(ack)
        val use = running[adapter] ?: 0
        return if (use > own) Evidence.InUse(use) else Evidence.Idle
    }
}
