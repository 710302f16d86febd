package io.apricotslip.gateway

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.ServerEntry
import io.apricotslip.serving.state.DesiredState

/**
 * Receives what the platform publishes in its store. All functions are called on the event loop.
 *
 * A `revision` is the store's revision of the entry.
 */
public interface StoreListener {
    /** A desired state was read from the store. */
    public fun onDesiredState(state: DesiredState, revision: Long)

    /** The entry of a backend server was read from the store. */
    public fun onServer(entry: ServerEntry, revision: Long)

    /** The entry of a backend server was removed from the store. */
    public fun onServerRemoved(id: BackendServerId, revision: Long)

    /** All backend server entries were read; [ids] is the complete set. */
    public fun onServersListed(ids: Set<BackendServerId>)

    /** The platform declared [version] as the version of [adapter]. */
    public fun onAdapterVersion(adapter: ServedAdapter, version: Long, revision: Long)

    /** The store stopped responding, for [reason]. */
    public fun onStoreUnavailable(reason: String)

    /** The store responds again. */
    public fun onStoreAvailable()
}
