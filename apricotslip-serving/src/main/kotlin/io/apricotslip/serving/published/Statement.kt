package io.apricotslip.serving.published

/**
 * Something that was published about one subject: a desired state, the entry of a backend server, the version of an
 * adapter, or a removal.
 *
 * @property position where the store holds it.
 * @property count how its author counts it.
 */
public data class Statement(public val position: StorePosition, public val count: AuthorCount) {
    /**
     * How recent this statement is, compared with [known] on the same subject.
     *
     * Within an era the store's revisions decide. Between eras only the counts of the authors do: the copy from which
     * the store came back holds statements that were replaced before. A version counts in every case, as the operators
     * never lower one.
     */
    public fun recency(known: Statement): Recency = when {
        count is AuthorCount.Version && known.count is AuthorCount.Version ->
            Recency.of(count.number.compareTo(known.count.number))
        position.era == known.position.era -> Recency.of(position.revision.compareTo(known.position.revision))
        position.era < known.position.era -> Recency.OLDER
        else -> recencyOfLaterEra(known.count)
    }

    private fun recencyOfLaterEra(known: AuthorCount): Recency = when (count) {
        is AuthorCount.Version, AuthorCount.Removal -> Recency.NEWER
        is AuthorCount.Entry -> when (known) {
            is AuthorCount.Entry -> Recency.of(count.compareTo(known))
            AuthorCount.Removal, is AuthorCount.Version -> Recency.NEWER
        }
    }
}

/** Which of two statements on the same subject was made later. */
public enum class Recency {
    NEWER,

    /** Both are the same statement, or repeat it. */
    SAME,
    OLDER,
    ;

    internal companion object {
        fun of(comparison: Int): Recency = when {
            comparison > 0 -> NEWER
            comparison < 0 -> OLDER
            else -> SAME
        }
    }
}

/** The count that the author of a statement keeps, which does not depend on the store. */
public sealed class AuthorCount {
    /** A version that the operators raise with each change. */
    public data class Version(public val number: Long) : AuthorCount()

    /**
     * An entry of a backend server. A server that announced its end does not take that back with the same [sequence].
     *
     * @property startedAtMillis Unix time of the start of the server's incarnation.
     * @property sequence number of the entry within the incarnation.
     */
    public data class Entry(public val startedAtMillis: Long, public val sequence: Long, public val leaving: Boolean) :
        AuthorCount(),
        Comparable<Entry> {
        override fun compareTo(other: Entry): Int =
            compareValuesBy(this, other, Entry::startedAtMillis, Entry::sequence, Entry::leaving)
    }

    /** The removal of an entry by the store, which keeps no count of its own. */
    public data object Removal : AuthorCount()
}
