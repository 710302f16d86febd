package io.apricotslip.serving.fleet

/**
 * What one answer of a backend server says about the server itself.
 *
 * @property leaving whether the server says that it leaves.
 * @property pauseMillis time for which the server wants no request of this node; null when it names none.
 * @property maxRequestsPerSecond requests that the server takes from all nodes together; null when it names no limit.
 * @property liftsLimit whether the absence of a limit means that there is none.
 */
public data class ServerAnnouncement(
    public val leaving: Boolean = false,
    public val pauseMillis: Long? = null,
    public val maxRequestsPerSecond: Double? = null,
    public val liftsLimit: Boolean = false,
)
