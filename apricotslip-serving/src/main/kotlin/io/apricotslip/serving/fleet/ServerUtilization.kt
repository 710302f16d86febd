package io.apricotslip.serving.fleet

/**
 * Work that one node has at one backend server.
 *
 * @property running requests that were sent and have no final answer.
 * @property pendingPromptTokens prompt tokens of those without a first event.
 * @property kvCacheTokens tokens that the requests may come to hold.
 */
public data class ServerUtilization(
    public val running: Int = 0,
    public val pendingPromptTokens: Long = 0,
    public val kvCacheTokens: Long = 0,
) {
    /** The sum of both. */
    public operator fun plus(other: ServerUtilization): ServerUtilization = ServerUtilization(
        running + other.running,
        pendingPromptTokens + other.pendingPromptTokens,
        kvCacheTokens + other.kvCacheTokens,
    )
}
