package io.apricotslip.serving.order

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import io.apricotslip.rules.placement.Rendezvous

/**
 * Who gives orders to which backend server.
 *
 * A node claims a server only after no claim for it was heard for [leaseMillis] and a margin, and only when it ranks
 * first
 * among the nodes that it hears. Of two claims the one with the lower fence gives way at once. Orders stay safe
 * whatever
 * nodes believe: servers refuse a fence lower than one that they have seen, and no two nodes make the same fence.
 *
 * @param nodeNumber number of this node, below 2^24 and unlike that of any other node.
 */
public class OrderClaims(
    private val self: VmId,
    private val nodeNumber: Long,
    private val leaseMillis: Long,
    private val startedAt: Long,
) {
    private class Claim(val holder: VmId, val fence: FenceNumber, val heardAt: Long)

    private val claims = HashMap<BackendServerId, Claim>()
    private val waitUntil = HashMap<BackendServerId, Long>()
    private val highest = HashMap<BackendServerId, Long>()

    /** The fence under which this node gives orders to [server], or null when it does not hold the claim. */
    public fun ownFence(server: BackendServerId): FenceNumber? = claims[server]?.takeIf { it.holder == self }?.fence

    /** The node that holds the claim, as far as known. */
    public fun holder(server: BackendServerId): VmId? = claims[server]?.holder

    /** Servers that this node holds. */
    public fun heldServers(): List<BackendServerId> = claims.filterValues { it.holder == self }.keys.toList()

    /** Takes the claim of [peer]; returns true when this node gave its own up. */
    public fun onClaimReceived(server: BackendServerId, peer: VmId, fence: FenceNumber, now: Long): Boolean {
        raise(server, fence.value)
        val known = claims[server]
        val stronger = known == null || known.holder == peer || fence > known.fence || expired(known, now)
        if (!stronger) return false
        claims[server] = Claim(peer, fence, now)
        return known?.holder == self
    }

    /** Gives the claim to [server] up after it refused the fence, and stays away for a while. */
    public fun onFenceRefused(server: BackendServerId, now: Long) {
        claims.remove(server)
        raise(server, (highest[server] ?: 0) + (FENCE_JUMP_SECONDS shl NODE_BITS))
        waitUntil[server] = now + leaseMillis + REFUSED_MILLIS
    }

    /** Gives all claims up. */
    public fun releaseAll() {
        heldServers().forEach(claims::remove)
    }

    /**
     * Claims those of [servers] for which no claim stands and this node ranks first among [live], itself included.
     *
     * @param fresh whether all nodes started not long ago, so that no node that lives has given an order before.
     * @param wallSeconds Unix time.
     */
    public fun claim(
        servers: Collection<BackendServerId>,
        live: Collection<VmId>,
        fresh: Boolean,
        wallSeconds: Long,
        now: Long,
    ) {
        claims.values.removeIf { it.holder != self && now - it.heardAt > FORGET_MILLIS }
        val earliest = if (fresh) startedAt + FRESH_MILLIS else startedAt + leaseMillis + MARGIN_MILLIS
        if (now < earliest) return
        servers.filter { free(it, now) && first(it, live) }.forEach { take(it, wallSeconds, now) }
    }

    private fun take(server: BackendServerId, wallSeconds: Long, now: Long) {
        val base = maxOf(wallSeconds, (highest[server] ?: 0) shr NODE_BITS) + 1
        val fence = FenceNumber((base shl NODE_BITS) or nodeNumber)
        raise(server, fence.value)
        claims[server] = Claim(self, fence, now)
    }

    private fun free(server: BackendServerId, now: Long): Boolean {
        val claim = claims[server]
        if (claim?.holder == self) return false
        if (claim != null) return expired(claim, now)
        return now >= (waitUntil[server] ?: 0)
    }

    private fun expired(claim: Claim, now: Long) =
        claim.holder != self && now - claim.heardAt > leaseMillis + MARGIN_MILLIS

    private fun first(server: BackendServerId, live: Collection<VmId>): Boolean {
        val rank = rank(server, self)
        return live.none { it != self && rank(server, it) > rank }
    }

    private fun rank(server: BackendServerId, vm: VmId): Double = Rendezvous.unit(server.value, vm.value)

    private fun raise(server: BackendServerId, fence: Long) {
        highest.merge(server, fence, ::maxOf)
    }

    private companion object {
        /** Covers the reports of a holder that were on their way, and the difference of two steady clocks. */
        const val MARGIN_MILLIS = 500L

        /** Several reports of peers: claims that stand are heard by then. */
        const val FRESH_MILLIS = 1_000L

        /** Claims on servers that are gone are dropped after that; longer than any server is away. */
        const val FORGET_MILLIS = 60_000L

        /** Added wait after a refused fence: the other holder is unknown and must be heard first. */
        const val REFUSED_MILLIS = 2_000L

        /** Jump after a refused fence; covers a clock of another node that was ahead. */
        const val FENCE_JUMP_SECONDS = 4_096L
        const val NODE_BITS = 24
    }
}
