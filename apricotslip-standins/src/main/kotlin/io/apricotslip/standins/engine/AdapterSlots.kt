package io.apricotslip.standins.engine

import io.apricotslip.api.id.AdapterVersion

/** The adapters that an engine holds or loads, and the requests on each. */
internal class AdapterSlots(private val capacity: Int) {
    private class Slot(var state: SlotState, var inUse: Int = 0)

    /** In the order of last use, oldest first. */
    private val slots = LinkedHashMap<AdapterVersion, Slot>(capacity, LOAD_FACTOR, true)

    /** Whether no slot is free. */
    val isFull: Boolean get() = slots.size >= capacity

    /** State of [adapter], or null when it has no slot. */
    fun state(adapter: AdapterVersion): SlotState? = peek(adapter)?.state

    /** Requests on [adapter]. */
    fun inUse(adapter: AdapterVersion): Int = peek(adapter)?.inUse ?: 0

    /** Gives [adapter] a slot for loading. */
    fun reserve(adapter: AdapterVersion) {
        slots[adapter] = Slot(SlotState.LOADING)
    }

    /** The load of [adapter] is over. */
    fun makeResident(adapter: AdapterVersion) {
        slots[adapter]?.state = SlotState.RESIDENT
    }

    /** Takes the slot of [adapter]. */
    fun remove(adapter: AdapterVersion) {
        slots.remove(adapter)
    }

    /** Counts one more request on [adapter]. */
    fun use(adapter: AdapterVersion) {
        slots[adapter]?.let { it.inUse++ }
    }

    /** Counts one request on [adapter] less. */
    fun release(adapter: AdapterVersion) {
        peek(adapter)?.let { it.inUse-- }
    }

    /** What an engine that makes room by itself evicts: the least recently used idle adapter, else one in use. */
    fun victim(): AdapterVersion? {
        val residents = slots.entries.filter { it.value.state == SlotState.RESIDENT }
        return (residents.firstOrNull { it.value.inUse == 0 } ?: residents.firstOrNull())?.key
    }

    /** Everything for a report. */
    fun report(): List<ReportedSlot> = slots.entries.map { (adapter, slot) ->
        ReportedSlot(adapter.adapter.value, adapter.version.value, slot.inUse, slot.state)
    }

    /** Empties all slots. */
    fun clear() {
        slots.clear()
    }

    /** Reads without counting as a use. */
    private fun peek(adapter: AdapterVersion): Slot? = slots.entries.firstOrNull { it.key == adapter }?.value

    private companion object {
        const val LOAD_FACTOR = 0.75f
    }
}
