package io.apricotslip.standins.engine

import io.apricotslip.api.id.AdapterVersion

/** The adapter slots of an engine: the adapters that are resident or loading, with the active requests on each. */
internal class AdapterSlots(private val capacity: Int) {
    private class Slot(var state: SlotState, var activeRequests: Int = 0)

    /** In access order, least recently used first. */
    private val slots = LinkedHashMap<AdapterVersion, Slot>(capacity, LOAD_FACTOR, true)

    /** Whether all slots are taken. */
    val isFull: Boolean get() = slots.size >= capacity

    /** Returns the state of [adapter], or null if it has no slot. Does not count as a use. */
    fun state(adapter: AdapterVersion): SlotState? = peek(adapter)?.state

    /** Returns the number of queued and running requests on [adapter]. */
    fun activeRequests(adapter: AdapterVersion): Int = peek(adapter)?.activeRequests ?: 0

    /** Assigns a slot to [adapter], in state [SlotState.LOADING]. */
    fun reserve(adapter: AdapterVersion) {
        slots[adapter] = Slot(SlotState.LOADING)
    }

    /** Marks [adapter] as resident once its load has completed. */
    fun makeResident(adapter: AdapterVersion) {
        slots[adapter]?.state = SlotState.RESIDENT
    }

    /** Frees the slot of [adapter]. */
    fun remove(adapter: AdapterVersion) {
        slots.remove(adapter)
    }

    /** Adds an active request on [adapter], which makes it the most recently used. */
    fun acquire(adapter: AdapterVersion) {
        slots[adapter]?.let { it.activeRequests++ }
    }

    /** Removes an active request on [adapter]. */
    fun release(adapter: AdapterVersion) {
        peek(adapter)?.let { it.activeRequests-- }
    }

    /**
     * The adapter that an engine evicts by itself when it is full: the least recently used idle adapter or, if none is
     * idle, the least recently used one; null if none is resident.
     */
    fun evictionCandidate(): AdapterVersion? {
        val residents = slots.entries.filter { it.value.state == SlotState.RESIDENT }
        return (residents.firstOrNull { it.value.activeRequests == 0 } ?: residents.firstOrNull())?.key
    }

    /** The slots as listed in a report. */
    fun report(): List<ReportedSlot> = slots.entries.map { (adapter, slot) ->
        ReportedSlot(adapter.adapter.value, adapter.version.value, slot.activeRequests, slot.state)
    }

    /** Frees all slots. */
    fun clear() {
        slots.clear()
    }

    /** Looks the slot up without changing the access order. */
    private fun peek(adapter: AdapterVersion): Slot? = slots.entries.firstOrNull { it.key == adapter }?.value

    private companion object {
        const val LOAD_FACTOR = 0.75f
    }
}
