package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId

/**
 * What a request to a backend server says besides what the caller sent.
 *
 * @property server the one that must run it; any other refuses.
 * @property budgetMillis time after which the server stops.
 * @property lastEventId event after which a stream goes on; null for its start.
 * @property adapterVersion version that the adapter must have; null when any may answer.
 * @property priority urgency, 0 first, 9 last; null for plain services.
 */
public data class ServerRequestMetadata(
    public val server: BackendServerId,
    public val budgetMillis: Long,
    public val lastEventId: Long? = null,
    public val adapterVersion: Long? = null,
    public val priority: Int? = null,
)
