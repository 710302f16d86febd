package io.apricotslip.serving.pace

import io.apricotslip.api.peer.ServerPaceUse

/** What nodes tell each other about the limits of backend servers that just started or recovered. */
public interface PaceExchangeState {
    /** The limits of this node with the evidence that it has not reported yet; it counts as reported from now on. */
    public fun reportPaces(now: Long): List<ServerPaceUse>

    /** The limits for the digest of a hub. */
    public fun digestPaces(now: Long): List<ServerPaceUse>

    /** Applies the report of a hub ([ofHub]), which other hubs get as well, or of a node that reports to this one. */
    public fun applyPaceReport(paces: List<ServerPaceUse>, ofHub: Boolean, now: Long)

    /** Applies the digest of the hub of this node. */
    public fun applyPaceDigest(paces: List<ServerPaceUse>, now: Long)
}
