package io.apricotslip.serving.member

import io.apricotslip.api.peer.FleetMessage

/** What nodes tell each other about reaching backend servers, and about servers that are brittle. */
public interface ServerConditionState {
    /** What backend servers said lately about being brittle, as far as known to this node. */
    public fun brittleServers(now: Long): List<FleetMessage.BrittleServer>

    /** Applies what another node passed on about brittle servers. */
    public fun applyBrittleServers(servers: List<FleetMessage.BrittleServer>, now: Long)

    /** This node as a helper of others; null when it reaches no backend server. */
    public fun ownHelper(): FleetMessage.Helper?

    /** Whether this node is cut off from all backend servers. */
    public fun isCutOff(): Boolean

    /** Some nodes that reach backend servers, at most [count]. */
    public fun someHelpers(count: Int, now: Long): List<FleetMessage.Helper>

    /** Applies which nodes reach backend servers. */
    public fun applyHelpers(helpers: List<FleetMessage.Helper>, now: Long)
}
