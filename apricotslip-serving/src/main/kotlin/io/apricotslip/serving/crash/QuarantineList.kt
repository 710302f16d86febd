package io.apricotslip.serving.crash

import io.apricotslip.api.id.RequestTrait
import io.apricotslip.api.peer.CrashEvidence.QuarantinedTrait

/** The traits that are in quarantine, or were lately. Each quarantine of the same trait lasts twice as long. */
internal class QuarantineList {
    private class Entry(val count: Int, val at: Long, val evidenceAt: Long) {
        val until: Long = at + minOf(FIRST_MILLIS shl minOf(count - 1, MAX_DOUBLINGS), MAX_MILLIS)
    }

    private val entries = LinkedHashMap<RequestTrait, Entry>()
    private val added = LinkedHashSet<RequestTrait>()
    private val lifted = LinkedHashSet<RequestTrait>()

    val isEmpty: Boolean get() = entries.isEmpty()

    fun contains(trait: RequestTrait): Boolean = trait in entries

    fun active(now: Long): Set<RequestTrait> = entries.filterValues { it.until > now }.keys

    /** Whether [trait] was in quarantine and its time is over. */
    fun lapsed(trait: RequestTrait, now: Long): Boolean = entries[trait]?.let { it.until <= now } ?: false

    fun remainingMillis(trait: RequestTrait, now: Long): Long = entries[trait]?.let { it.until - now } ?: 0

    /** Whether a crash at [at] with [trait] needs no other explanation. */
    fun explains(trait: RequestTrait, at: Long): Boolean = entries[trait]?.let { at < it.until } ?: false

    fun add(trait: RequestTrait, evidenceAt: Long, now: Long) {
        put(trait, Entry(minOf((entries[trait]?.count ?: 0) + 1, MAX_COUNT), now, evidenceAt))
    }

    /** Ends the quarantine of [trait] if it was answered after the crashes that it rests on; returns whether it did. */
    fun clear(trait: RequestTrait, answeredAt: Long): Boolean {
        val entry = entries[trait] ?: return false
        if (answeredAt <= entry.evidenceAt) return false
        entries.remove(trait)
        if (!added.remove(trait)) lifted.add(trait)
        return true
    }

    /** Merges an entry of another node; returns the trait if it was answered since, so that the entry is void. */
    fun merge(other: QuarantinedTrait, answeredAt: Long?, now: Long): RequestTrait? {
        val age = RequestQuarantine.validAge(other.ageMillis)
        val evidenceAge = RequestQuarantine.validAge(other.evidenceAgeMillis)
        val entry = Entry(other.count.coerceIn(1, MAX_COUNT), now - age, now - evidenceAge)
        if (answeredAt != null && answeredAt > entry.evidenceAt) {
            clear(other.trait, answeredAt)
            return other.trait
        }
        val known = entries[other.trait]
        val newer = known == null || entry.count > known.count
        if (newer || (entry.count == known.count && entry.at < known.at)) put(other.trait, entry, isNew = newer)
        return null
    }

    /** What changed since the last call. */
    fun takeChanges(now: Long): RequestQuarantine.Changes {
        entries.values.removeIf { now - it.until > MEMORY_MILLIS }
        val active = toMessages(now).filter { it.trait in added && remainingMillis(it.trait, now) > 0 }
        val changes = RequestQuarantine.Changes(active, lifted.toList())
        added.clear()
        lifted.clear()
        return changes
    }

    fun toMessages(now: Long): List<QuarantinedTrait> =
        entries.map { (trait, entry) -> QuarantinedTrait(trait, entry.count, now - entry.at, now - entry.evidenceAt) }

    private fun put(trait: RequestTrait, entry: Entry, isNew: Boolean = true) {
        entries[trait] = entry
        if (isNew) added.add(trait)
        if (entries.size > MAX_ENTRIES) entries.remove(entries.minBy { it.value.until }.key)
    }

    private companion object {
        /** Long against the seconds that a crashed server needs, short enough to try a repaired one again. */
        const val FIRST_MILLIS = 60_000L
        const val MAX_MILLIS = 3_600_000L
        const val MAX_DOUBLINGS = 6
        const val MAX_COUNT = 1_000

        /** Time for which a trait that crashed servers is put back into quarantine after a single crash. */
        const val MEMORY_MILLIS = 3_600_000L

        /** Bounds the size of a report; more traits than were ever at fault at once. */
        const val MAX_ENTRIES = 32
    }
}
