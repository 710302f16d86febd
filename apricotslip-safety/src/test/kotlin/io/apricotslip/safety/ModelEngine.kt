package io.apricotslip.safety

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.RequestId

/** A running request of [node] on an engine. */
internal data class Stream(val node: Node, val request: RequestId, val adapter: AdapterVersion)

internal data class Snapshot(val engine: Incarnation, val sequence: Long, val running: Map<AdapterVersion, Int>)

/** An eviction order still in flight after its answer was lost; it is dropped after [expiresAt]. */
internal data class DelayedEvict(val adapter: AdapterVersion, val fence: FenceNumber, val expiresAt: Long)

/** A simulated engine that executes every order and whose reports lag behind. */
internal class ModelEngine(val id: BackendServerId, val checksFence: Boolean) {
    private var incarnation = 1L
    private var sequence = 0L
    private var highestFence = 0L
    private val snapshots = ArrayDeque(listOf(Snapshot(Incarnation(1), 0, emptyMap())))
    val streams = LinkedHashSet<Stream>()
    val delayedEvicts = ArrayList<DelayedEvict>()
    var evicts = 0
        private set
    var evictsInUse = 0
        private set

    /** The highest token seen if [fence] is stale and the engine checks it, or null if an order with it is accepted. */
    fun highestIfStale(fence: FenceNumber): FenceNumber? =
        FenceNumber(highestFence).takeIf { checksFence && fence.value < highestFence }

    /** Executes an order, which evicts [adapter] if it is given, and returns the sequence number after it. */
    fun execute(fence: FenceNumber, adapter: AdapterVersion? = null): Long {
        highestFence = maxOf(highestFence, fence.value)
        if (adapter != null) {
            evicts++
            if (streams.any { it.adapter == adapter }) evictsInUse++
        }
        return recordSnapshot()
    }

    /** Records a snapshot for reports after a change and returns its sequence number. */
    fun recordSnapshot(): Long {
        sequence++
        snapshots += Snapshot(Incarnation(incarnation), sequence, streams.groupingBy { it.adapter }.eachCount())
        if (snapshots.size > 6) snapshots.removeFirst()
        return sequence
    }

    /** One of the last 6 snapshots, so that reports lag and arrive out of order. */
    fun randomReport(fleet: Fleet): Snapshot = snapshots.random(fleet.random)

    fun restart() {
        incarnation++
        sequence = 0
        highestFence = 0
        streams.clear()
        delayedEvicts.clear()
        snapshots.clear()
        recordSnapshot()
    }
}
