package io.apricotslip.serving.allowance

/**
 * Which part of an allowance the nodes that this one hears may use together.
 *
 * Guards against a split: nodes that do not hear each other cannot know what the others grant. Those that hear most of
 * the nodes use the whole allowance, as the others have probably ended. The others keep to their part.
 *
 * @param expectedNodes nodes that are to be expected before any was heard.
 */
internal class FleetSize(expectedNodes: Int) {
    private val largest = ArrayDeque<Pair<Long, Int>>().apply { addLast(0L to expectedNodes) }
    private var nodes = 1

    /** Whether this node hears so few others that they may be more and grant on their own. */
    val isMinority: Boolean
        get() = nodes * 2 <= largest.first().second

    private val known: Int
        get() = maxOf(nodes, largest.first().second)

    /** The part of an allowance that the nodes that this one hears may use together, from 0 to 1. */
    fun heardPart(lastShare: Double?): Double = when {
        !isMinority -> 1.0
        // No other nodes can be more than these.
        nodes * 2 == known -> HALF
        nodes == 1 -> partOfOne(lastShare)
        else -> nodes.toDouble() / known * MINORITY_FACTOR
    }

    /**
     * The part that this node may use without knowing what the others grant.
     *
     * @param lastShare its part of the requests when it knew them last; null if it never did.
     */
    fun partOfOne(lastShare: Double?): Double {
        val equal = 1.0 / known
        return if (known == 1) 1.0 else minOf(lastShare ?: equal, equal) * MINORITY_FACTOR
    }

    fun record(count: Int, now: Long) {
        nodes = maxOf(count, 1)
        while (largest.isNotEmpty() && largest.last().second <= nodes) largest.removeLast()
        largest.addLast(now to nodes)
        while (largest.first().first < now - MEMORY_MILLIS) largest.removeFirst()
    }

    private companion object {
        const val HALF = 0.5

        /**
         * The others may use the whole allowance meanwhile, and all together may exceed it by a quarter. Workspaces
         * usually send a little more than half of what they may.
         */
        const val MINORITY_FACTOR = 0.55

        /** Longer than links between zones are usually broken; operators may shrink a fleet by half within it. */
        const val MEMORY_MILLIS = 600_000L
    }
}
