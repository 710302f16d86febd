package io.apricotslip.serving.published

/** Follows the store through its eras, by what its answers state. */
public class StoreHistory {
    private var statedEra: Long? = null
    private var highestRevision = 0L
    private var anyAnswer = false

    /** Number of times that the store's revisions started anew. */
    public var era: Long = 0
        private set

    /** The newest place in the store's history that an answer stated, in the store's own numbers. */
    public val newest: Place
        get() = Place(statedEra ?: 0, highestRevision)

    /** What an answer says about the store's history. */
    public enum class Verdict {
        /** The answer continues the known history. */
        CURRENT,

        /** The revisions started anew: what was read may be lost or older, and everything must be listed again. */
        STARTED_ANEW,

        /** The answer was made before others that were read, and must not be used. */
        OUTDATED,
    }

    /** A place in the store's history in the store's own numbers, which all nodes share. */
    public data class Place(public val era: Long, public val revision: Long) : Comparable<Place> {
        override fun compareTo(other: Place): Int = compareValuesBy(this, other, Place::era, Place::revision)
    }

    /** The position of an entry that the store holds at [revision] now. */
    public fun position(revision: Long): StorePosition = StorePosition(era, revision)

    /**
     * Judges an answer, and follows the store into a new era.
     *
     * @param stated the era that the answer names; null when it names none that can be read.
     * @param revision the store's revision in the answer; null when it has none.
     */
    public fun judge(stated: Long?, revision: Long?): Verdict {
        val known = statedEra
        if (stated != null && known != null && stated < known) return Verdict.OUTDATED
        val wentBack = revision != null && revision < highestRevision
        // An era that is named for the first time may have begun after the answers that named none.
        val anew = wentBack || (stated != null && stated != known && anyAnswer)
        anyAnswer = true
        statedEra = stated ?: known
        if (anew) {
            era++
            highestRevision = 0
        }
        highestRevision = maxOf(highestRevision, revision ?: 0)
        return if (anew) Verdict.STARTED_ANEW else Verdict.CURRENT
    }
}
