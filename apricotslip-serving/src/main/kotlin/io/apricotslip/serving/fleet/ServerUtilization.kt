package io.apricotslip.serving.fleet

/**
 * Work at one backend server, of one node or summed over nodes.
 *
 * @property running requests that were sent and have no final answer.
 * @property pendingPromptTokens prompt tokens of the requests without a first event.
 * @property kvCacheTokens tokens that the requests may occupy in the KV cache at most.
 */
public data class ServerUtilization(
    public val running: Int = 0,
    public val pendingPromptTokens: Long = 0,
    public val kvCacheTokens: Long = 0,
) {
    public operator fun plus(other: ServerUtilization): ServerUtilization = ServerUtilization(
        running + other.running,
        pendingPromptTokens + other.pendingPromptTokens,
        kvCacheTokens + other.kvCacheTokens,
    )
}
