package io.apricotslip.gateway

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.ServerEntry
import io.apricotslip.serving.state.DesiredState

/** Takes what the platform publishes, on the event loop. Revisions are the store's. */
public interface StoreListener {
    /** A desired state was read. */
    public fun onDesiredState(state: DesiredState, revision: Long)

    /** The entry of a backend server was read. */
    public fun onServer(entry: ServerEntry, revision: Long)

    /** The entry of a backend server was removed. */
    public fun onServerRemoved(id: BackendServerId, revision: Long)

    /** All entries were read: those of [ids]. */
    public fun onServersListed(ids: Set<BackendServerId>)

    /** A version of an adapter was declared. */
    public fun onAdapterVersion(adapter: ServedAdapter, version: Long, revision: Long)

    /** The store does not answer. */
    public fun onStoreUnavailable(reason: String)

    /** The store answers. */
    public fun onStoreAvailable()
}
