package io.apricotslip.gateway

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.ServerEntry
import io.apricotslip.serving.published.StorePosition
import io.apricotslip.serving.state.DesiredState

/**
 * Receives what the platform publishes in its store. All functions are called on the event loop.
 *
 * A `position` is where the store holds the entry.
 */
public interface StoreListener {
    /** A desired state was read from the store. */
    public fun onDesiredState(state: DesiredState, position: StorePosition)

    /** The entry of a backend server was read from the store. */
    public fun onServer(entry: ServerEntry, position: StorePosition)

    /** The entry of a backend server was removed from the store. */
    public fun onServerRemoved(id: BackendServerId, position: StorePosition)

    /** All backend server entries were read, from [position] on; [ids] is the complete set. */
    public fun onServersListed(ids: Set<BackendServerId>, position: StorePosition)

    /** The platform declared [version] as the version of [adapter]. */
    public fun onAdapterVersion(adapter: ServedAdapter, version: Long, position: StorePosition)

    /** The store came back from a copy: its history after the copy is lost. */
    public fun onStoreRestored()

    /** The store stopped responding, for [reason]. */
    public fun onStoreUnavailable(reason: String)

    /** The store responds again. */
    public fun onStoreAvailable()
}
