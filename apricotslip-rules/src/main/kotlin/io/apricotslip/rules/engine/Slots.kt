package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId

/** Adapter slots of one engine and what runs on them, by the owner's own count. */
internal class Slots(private val slots: Int) {
    private class Resident(var usedAt: Long) {
        var running = 0
        var foreign = 0
        var evicting = false
        var keptUntil = Long.MIN_VALUE
    }

    class Started(val work: WorkItem, val at: Long)

    private val residents = LinkedHashMap<AdapterVersion, Resident>()
    private val loading = LinkedHashSet<AdapterVersion>()
    private val started = LinkedHashMap<RequestId, Started>()

    val running: Int get() = started.size
    val foreign: Int get() = residents.values.sumOf { it.foreign }
    val free: Int get() = slots - residents.size - loading.size
    val evicting: Int get() = residents.values.count { it.evicting }
    val loads: Set<AdapterVersion> get() = loading
    val adapters: Set<AdapterVersion> get() = residents.keys

    fun isResident(adapter: AdapterVersion): Boolean = adapter in residents

    fun isLoading(adapter: AdapterVersion): Boolean = adapter in loading

    fun isUsable(adapter: AdapterVersion): Boolean = residents[adapter]?.evicting == false

    fun running(adapter: AdapterVersion): Int = residents[adapter]?.running ?: 0

    fun startedOn(adapter: AdapterVersion): List<Started> = started.values.filter { it.work.adapter == adapter }

    fun usedAt(adapter: AdapterVersion): Long = residents[adapter]?.usedAt ?: Long.MIN_VALUE

    fun idle(now: Long): List<AdapterVersion> = residents.entries.filter { isIdle(it.value, now) }.map { it.key }

    fun start(work: WorkItem, now: Long) {
        started[work.id] = Started(work, now)
        residents.getValue(work.adapter).apply {
            running += 1
            usedAt = now
        }
    }

    fun end(id: RequestId, now: Long): Started? {
        val ended = started.remove(id) ?: return null
        residents[ended.work.adapter]?.apply {
            running = maxOf(0, running - 1)
            usedAt = now
        }
        return ended
    }

    fun load(adapter: AdapterVersion) {
        loading += adapter
    }

    fun loaded(adapter: AdapterVersion, now: Long) {
        loading -= adapter
        residents.getOrPut(adapter) { Resident(now) }
    }

    fun loadFailed(adapter: AdapterVersion) {
        loading -= adapter
    }

    fun evict(adapter: AdapterVersion) {
        residents[adapter]?.evicting = true
    }

    fun evicted(adapter: AdapterVersion) {
        residents.remove(adapter)
    }

    fun keep(adapter: AdapterVersion, until: Long) {
        residents[adapter]?.apply {
            evicting = false
            keptUntil = until
        }
    }

    fun reset(adapters: List<AdapterVersion>, now: Long) {
        val before = residents.toMap()
        residents.clear()
        loading.clear()
        adapters.forEach { residents[it] = Resident(before[it]?.usedAt ?: now) }
        started.values.forEach { s -> residents[s.work.adapter]?.let { it.running += 1 } }
    }

    fun foreign(counts: Map<AdapterVersion, Int>) {
        residents.forEach { (adapter, resident) -> resident.foreign = counts[adapter] ?: 0 }
    }

    private fun isIdle(resident: Resident, now: Long): Boolean =
        resident.running == 0 && resident.foreign == 0 && !resident.evicting && resident.keptUntil <= now
}
