package io.apricotslip.safety

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.RequestId

internal data class Stream(val node: Node, val request: RequestId, val adapter: AdapterVersion)

internal data class Snapshot(val engine: Incarnation, val sequence: Long, val running: Map<AdapterVersion, Int>)

internal data class LateEvict(val adapter: AdapterVersion, val fence: FenceNumber, val until: Long)

/** An engine that obeys every order, with reports that lag. */
internal class ModelEngine(val id: BackendServerId, val checksFence: Boolean) {
    private var incarnation = 1L
    private var sequence = 0L
    private var highest = 0L
    private val snapshots = ArrayDeque(listOf(Snapshot(Incarnation(1), 0, emptyMap())))
    val streams = LinkedHashSet<Stream>()
    val late = ArrayList<LateEvict>()
    var evicts = 0
        private set
    var evictsUnderUse = 0
        private set

    fun refuses(fence: FenceNumber): FenceNumber? = FenceNumber(highest).takeIf { checksFence && fence.value < highest }

    /** Obeys an order that names no adapter to evict, or evicts [adapter]; returns the sequence after it. */
    fun order(fence: FenceNumber, adapter: AdapterVersion? = null): Long {
        highest = maxOf(highest, fence.value)
        if (adapter != null) {
            evicts++
            if (streams.any { it.adapter == adapter }) evictsUnderUse++
        }
        return changed()
    }

    fun changed(): Long {
        sequence++
        snapshots += Snapshot(Incarnation(incarnation), sequence, streams.groupingBy { it.adapter }.eachCount())
        if (snapshots.size > 6) snapshots.removeFirst()
        return sequence
    }

    fun report(fleet: Fleet): Snapshot = snapshots.random(fleet.random)

    fun restart() {
        incarnation++
        sequence = 0
        highest = 0
        streams.clear()
        late.clear()
        snapshots.clear()
        changed()
    }
}
