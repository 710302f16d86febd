package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.ServerAnnouncement

/**
 * Metadata from the head of a backend server's response.
 *
 * @property status HTTP status code.
 * @property requestId id of the request that is answered; null when not given.
 * @property signed whether the response carries the signature by which a backend server vouches for it.
 * @property notExecuted whether the server states that it did not execute the request.
 * @property misdirected whether the server does not serve the requested instance, model, adapter or version.
 * @property serverId id of the server that answered; null when not given.
 * @property maxRequestsPerSecond requests that the server takes from all nodes together; null when it names no limit.
 * @property maxRejectionsPerSecond requests that a brittle server can turn away; null when it does not say that it is.
 * @property leaving whether the server says that it leaves.
 * @property retryAfterMillis time after which the server wants the next request; null when it names none.
 * @property unreadable headers about the server that could not be read, for the log.
 */
public data class ServerResponseMetadata(
    public val status: Int,
    public val requestId: String?,
    public val signed: Boolean,
    public val notExecuted: Boolean,
    public val misdirected: Boolean,
    public val serverId: String?,
    public val maxRequestsPerSecond: Double? = null,
    public val maxRejectionsPerSecond: Int? = null,
    public val leaving: Boolean = false,
    public val retryAfterMillis: Long? = null,
    public val unreadable: List<String> = emptyList(),
) {
    /** Whether [status] is in the 2xx range. */
    public val success: Boolean
        get() = status in 200..299

    /** Whether callers read the response as "not executed". */
    internal val statesNotExecuted: Boolean
        get() = notExecuted || misdirected || status in NOT_EXECUTED_STATUSES

    /** Whether callers would read [status] as "not executed" although the server does not state that. */
    public val impliesNotExecuted: Boolean
        get() = !notExecuted && !misdirected && status in NOT_EXECUTED_STATUSES

    /** Whether another server than [asked], the one that was asked, responded. */
    internal fun isOfOtherThan(asked: BackendServerId): Boolean = serverId != null && serverId != asked.value

    /** What the response says about [asked], the server that was asked; null when another server responded. */
    public fun announcement(asked: BackendServerId): ServerAnnouncement? {
        if (isOfOtherThan(asked)) return null
        return ServerAnnouncement(leaving, pauseMillis, maxRequestsPerSecond, signed, maxRejectionsPerSecond)
    }

    /** Time for which the server that turned a request away wants no other one; null when it names none. */
    internal val pauseMillis: Long?
        get() = retryAfterMillis.takeIf { status in TURNED_AWAY_STATUSES }

    private companion object {
        /** Too many requests, service unavailable. */
        val TURNED_AWAY_STATUSES = setOf(429, 503)

        /** Request timeout, too many requests, service unavailable. */
        val NOT_EXECUTED_STATUSES = setOf(408, 429, 503)
    }
}
