package io.apricotslip.serving.fleet

/**
 * Work that one node has at one backend server.
 *
 * @property running requests that were sent and have no final answer.
 * @property unreadTokens prompt tokens of those without a first event.
 * @property memoryTokens tokens that the requests may come to hold.
 */
public data class UseCounts(
    public val running: Int = 0,
    public val unreadTokens: Long = 0,
    public val memoryTokens: Long = 0,
) {
    /** The sum of both. */
    public operator fun plus(other: UseCounts): UseCounts =
        UseCounts(running + other.running, unreadTokens + other.unreadTokens, memoryTokens + other.memoryTokens)
}
