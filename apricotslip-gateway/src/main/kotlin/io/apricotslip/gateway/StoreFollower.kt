package io.apricotslip.gateway

import io.apricotslip.serving.published.StoreHistory

/** The reader of the platform's store, which learns from other nodes how far they have read. */
public interface StoreFollower {
    /** The newest place in the store's history that this node has read. */
    public val newest: StoreHistory.Place

    /** Another node has read the store up to [place]. Called on the event loop. */
    public fun onReadElsewhere(place: StoreHistory.Place)
}
