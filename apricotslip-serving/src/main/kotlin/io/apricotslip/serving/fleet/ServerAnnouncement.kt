package io.apricotslip.serving.fleet

/**
 * What one answer of a backend server says about the server itself.
 *
 * @property leaving whether the server says that it leaves.
 * @property pauseMillis time for which the server wants no request of this node; null when it names none.
 * @property maxRequestsPerSecond requests that the server takes from all nodes together; null when it names no limit.
 * @property liftsLimit whether an answer that names no limit, or not that the server is brittle, takes that back.
 * @property maxRejectionsPerSecond requests that a brittle server can turn away; null when it does not say so.
 */
public data class ServerAnnouncement(
    public val leaving: Boolean = false,
    public val pauseMillis: Long? = null,
    public val maxRequestsPerSecond: Double? = null,
    public val liftsLimit: Boolean = false,
    public val maxRejectionsPerSecond: Int? = null,
)
