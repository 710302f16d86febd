package io.apricotslip.serving.crash

import io.apricotslip.api.id.RequestTrait

/** The latest time recorded for each trait; keeps the [capacity] traits that were recorded last. */
internal class TraitTimes(private val capacity: Int) {
    private val times = LinkedHashMap<RequestTrait, Long>()

    val keys: Set<RequestTrait> get() = times.keys

    /** Records [time] unless a later one is known. */
    fun put(trait: RequestTrait, time: Long) {
        val known = times.remove(trait)
        times[trait] = maxOf(time, known ?: time)
        if (times.size > capacity) times.remove(times.keys.first())
    }

    fun removeBefore(time: Long) {
        times.values.removeIf { it < time }
    }
}
