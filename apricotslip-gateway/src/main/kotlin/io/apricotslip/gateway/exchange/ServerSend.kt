package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId

/**
 * What a request to a backend server says besides what the caller sent.
 *
 * @property server the one that must run it; any other refuses.
 * @property budgetMillis time after which the server stops.
 * @property lastEvent event after which a stream goes on; null for its start.
 * @property version version that the adapter must have; null when any may answer.
 * @property priority urgency, 0 first, 9 last; null for plain services.
 */
public data class ServerSend(
    public val server: BackendServerId,
    public val budgetMillis: Long,
    public val lastEvent: Long? = null,
    public val version: Long? = null,
    public val priority: Int? = null,
)
