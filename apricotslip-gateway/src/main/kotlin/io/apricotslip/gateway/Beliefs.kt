package io.apricotslip.gateway

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.ServerEntry
import io.apricotslip.serving.state.DesiredState

/** Takes what the platform publishes, on the event loop. Revisions are the store's. */
public interface Beliefs {
    /** A desired state was read. */
    public fun desired(state: DesiredState, revision: Long)

    /** The entry of a backend server was read. */
    public fun server(entry: ServerEntry, revision: Long)

    /** The entry of a backend server was removed. */
    public fun serverRemoved(id: BackendServerId, revision: Long)

    /** All entries were read: those of [ids]. */
    public fun serversListed(ids: Set<BackendServerId>)

    /** A version of an adapter was declared. */
    public fun adapterVersion(adapter: ServedAdapter, version: Long, revision: Long)

    /** The store does not answer. */
    public fun storeLost(reason: String)

    /** The store answers. */
    public fun storeRegained()
}
