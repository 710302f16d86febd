package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId

/** Adapter slots of one engine and the requests that run on them, as recorded by the engine's owner. */
internal class AdapterSlots(private val slotCount: Int) {
    private class Resident(var lastUsedAt: Long) {
        var running = 0
        var foreignRunning = 0
        var evicting = false
        var noEvictUntil = Long.MIN_VALUE
    }

    class RunningWork(val work: WorkItem, val startedAt: Long)

    private val residents = LinkedHashMap<AdapterVersion, Resident>()
    private val loading = LinkedHashSet<AdapterVersion>()
    private val runningWork = LinkedHashMap<RequestId, RunningWork>()

    /** Requests that this VM runs on the engine. */
    val running: Int get() = runningWork.size

    /** Requests that other VMs run on the engine. */
    val foreignRunning: Int get() = residents.values.sumOf { it.foreignRunning }
    val freeCount: Int get() = slotCount - residents.size - loading.size
    val evictingCount: Int get() = residents.values.count { it.evicting }
    val loadingAdapters: Set<AdapterVersion> get() = loading
    val residentAdapters: Set<AdapterVersion> get() = residents.keys

    fun isResident(adapter: AdapterVersion): Boolean = adapter in residents

    fun isLoading(adapter: AdapterVersion): Boolean = adapter in loading

    /** Whether requests may start on [adapter]: it is resident and not being evicted. */
    fun isUsable(adapter: AdapterVersion): Boolean = residents[adapter]?.evicting == false

    fun running(adapter: AdapterVersion): Int = residents[adapter]?.running ?: 0

    fun runningOn(adapter: AdapterVersion): List<RunningWork> = runningWork.values.filter { it.work.adapter == adapter }

    fun lastUsedAt(adapter: AdapterVersion): Long = residents[adapter]?.lastUsedAt ?: Long.MIN_VALUE

    fun idleAdapters(now: Long): List<AdapterVersion> =
        residents.entries.filter { isIdle(it.value, now) }.map { it.key }

    fun recordStart(work: WorkItem, now: Long) {
        runningWork[work.id] = RunningWork(work, now)
        residents.getValue(work.adapter).apply {
            running += 1
            lastUsedAt = now
        }
    }

    /** Records that the request [id] no longer runs; returns it, or null if it was not running. */
    fun recordEnd(id: RequestId, now: Long): RunningWork? {
        val ended = runningWork.remove(id) ?: return null
        residents[ended.work.adapter]?.apply {
            running = maxOf(0, running - 1)
            lastUsedAt = now
        }
        return ended
    }

    fun markLoading(adapter: AdapterVersion) {
        loading += adapter
    }

    fun recordLoaded(adapter: AdapterVersion, now: Long) {
        loading -= adapter
        residents.getOrPut(adapter) { Resident(now) }
    }

    fun recordLoadFailed(adapter: AdapterVersion) {
        loading -= adapter
    }

    fun markEvicting(adapter: AdapterVersion) {
        residents[adapter]?.evicting = true
    }

    fun recordEvicted(adapter: AdapterVersion) {
        residents.remove(adapter)
    }

    /** Cancels the eviction of [adapter], which is not reported as idle before [noEvictUntil]. */
    fun cancelEvict(adapter: AdapterVersion, noEvictUntil: Long) {
        residents[adapter]?.apply {
            evicting = false
            this.noEvictUntil = noEvictUntil
        }
    }

    /** Replaces the resident adapters and forgets loads in flight. Running requests are kept. */
    fun reset(adapters: List<AdapterVersion>, now: Long) {
        val before = residents.toMap()
        residents.clear()
        loading.clear()
        adapters.forEach { residents[it] = Resident(before[it]?.lastUsedAt ?: now) }
        runningWork.values.forEach { r -> residents[r.work.adapter]?.let { it.running += 1 } }
    }

    fun updateForeignRunning(counts: Map<AdapterVersion, Int>) {
        residents.forEach { (adapter, resident) -> resident.foreignRunning = counts[adapter] ?: 0 }
    }

    private fun isIdle(resident: Resident, now: Long): Boolean = resident.running == 0 &&
        resident.foreignRunning == 0 &&
        !resident.evicting &&
        resident.noEvictUntil <= now
}
