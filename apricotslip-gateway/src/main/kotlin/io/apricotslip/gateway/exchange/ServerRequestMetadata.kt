package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.WorkspaceId

/**
 * Metadata that the gateway adds to a request to a backend server.
 *
 * @property server the server that must execute the request; any other refuses it.
 * @property budgetMillis time after which the server stops, in milliseconds.
 * @property lastEventId id of the event after which a stream resumes; null to start it.
 * @property adapterVersion version that the adapter must have; null when any version may serve the request.
 * @property priority priority in the engine's queue, from 0 (first) to 9 (last); null for plain services.
 * @property workspace workspace of the request; null when it has none, or none is known.
 * @property keyChecked whether requests need keys, so that neither the caller's credential nor the name of a workspace
 * that the caller states may reach the server.
 */
public data class ServerRequestMetadata(
    public val server: BackendServerId,
    public val budgetMillis: Long,
    public val lastEventId: Long? = null,
    public val adapterVersion: Long? = null,
    public val priority: Int? = null,
    public val workspace: WorkspaceId? = null,
    public val keyChecked: Boolean = workspace != null,
)
