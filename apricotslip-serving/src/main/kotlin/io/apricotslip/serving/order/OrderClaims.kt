package io.apricotslip.serving.order

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import io.apricotslip.rules.placement.RendezvousHashing

/**
 * Decides which node gives orders to which backend server.
 *
 * A node claims a server only when it has received no claim for it during [leaseMillis] plus a margin, and only when it
 * ranks first among the live nodes. It waits longer while others hear the holder. Of two concurrent claims the one with
 * the lower fencing token yields at once. Orders are safe even when nodes disagree: servers refuse a token lower than
 * one that they have seen, and no two nodes generate the same token.
 *
 * @param nodeNumber number of this node, below 2^24 and unique among the nodes.
 */
public class OrderClaims(
    private val self: VmId,
    private val nodeNumber: Long,
    private val leaseMillis: Long,
    private val startedAt: Long,
) {
    private class Claim(val holder: VmId, val fence: FenceNumber, val via: VmId, val lastHeardAt: Long)

    private val claims = HashMap<BackendServerId, Claim>()
    private val backoffUntil = HashMap<BackendServerId, Long>()
    private val highestFences = HashMap<BackendServerId, Long>()

    /** The fencing token under which this node gives orders to [server], or null when it does not hold the claim. */
    public fun ownFence(server: BackendServerId): FenceNumber? = claims[server]?.takeIf { it.holder == self }?.fence

    /** The node that holds the claim, as far as known. */
    public fun holder(server: BackendServerId): VmId? = claims[server]?.holder

    /** The node to which messages for the holder go: the holder, or a node that passes them on. */
    public fun nextHop(server: BackendServerId): VmId? = claims[server]?.via

    /** Age of the claim at [now]: 0 for a claim of this node. */
    public fun ageMillis(server: BackendServerId, now: Long): Long =
        claims[server]?.let { if (it.holder == self) 0 else now - it.lastHeardAt } ?: 0

    /** The fencing token of the claim, or null when there is none. */
    public fun fence(server: BackendServerId): FenceNumber? = claims[server]?.fence

    /** Servers whose claim this node holds. */
    public fun heldServers(): List<BackendServerId> = claims.filterValues { it.holder == self }.keys.toList()

    /**
     * Applies the claim that [holder] stated at [statedAt] and [via] passed on; returns whether this node lost its own
     * claim to it.
     */
    public fun onClaimReceived(
        server: BackendServerId,
        holder: VmId,
        fence: FenceNumber,
        now: Long,
        statedAt: Long = now,
        via: VmId = holder,
    ): Boolean {
        recordFence(server, fence.value)
        if (holder == self) return false
        val known = claims[server]
        val sameClaim = known != null && known.holder == holder && known.fence == fence
        if (sameClaim && statedAt < known.lastHeardAt) return false
        val stronger = known == null || fence > known.fence || sameClaim || expired(known, now)
        if (!stronger) return false
        claims[server] = Claim(holder, fence, via, statedAt)
        return known?.holder == self
    }

    /** Releases the claim to [server] after the server refused the fencing token, and backs off. */
    public fun onFenceRefused(server: BackendServerId, now: Long) {
        claims.remove(server)
        recordFence(server, (highestFences[server] ?: 0) + (FENCE_JUMP_SECONDS shl NODE_NUMBER_BITS))
        backoffUntil[server] = now + leaseMillis + REFUSED_BACKOFF_MILLIS
    }

    /** Releases all claims of this node. */
    public fun releaseAll() {
        heldServers().forEach(claims::remove)
    }

    /**
     * Claims those of [servers] that have no valid claim and for which this node ranks first among [live], itself
     * included.
     *
     * @param allFreshlyStarted whether all nodes started recently, so that no running node has given an order before.
     * @param wallSeconds Unix time.
     * @param isHeardByOthersOnly whether a node is heard by others while this one has lost its link to it.
     */
    public fun claim(
        servers: Collection<BackendServerId>,
        live: Collection<VmId>,
        allFreshlyStarted: Boolean,
        wallSeconds: Long,
        now: Long,
        isHeardByOthersOnly: (VmId) -> Boolean = { false },
    ) {
        claims.values.removeIf { it.holder != self && now - it.lastHeardAt > FORGET_AFTER_MILLIS }
        val earliest = if (allFreshlyStarted) {
            startedAt + FRESH_START_WAIT_MILLIS
        } else {
            startedAt + leaseMillis + LEASE_MARGIN_MILLIS
        }
        if (now < earliest) return
        servers.filter { claimable(it, now, isHeardByOthersOnly) && ranksFirst(it, live) }
            .forEach { acquire(it, wallSeconds, now) }
    }

    private fun acquire(server: BackendServerId, wallSeconds: Long, now: Long) {
        val base = maxOf(wallSeconds, (highestFences[server] ?: 0) shr NODE_NUMBER_BITS) + 1
        val fence = FenceNumber((base shl NODE_NUMBER_BITS) or nodeNumber)
        recordFence(server, fence.value)
        claims[server] = Claim(self, fence, self, now)
    }

    private fun claimable(server: BackendServerId, now: Long, isHeardByOthersOnly: (VmId) -> Boolean): Boolean {
        val claim = claims[server] ?: return now >= (backoffUntil[server] ?: 0)
        if (!expired(claim, now)) return false
        return now - claim.lastHeardAt > MAX_RELINK_MILLIS || !isHeardByOthersOnly(claim.holder)
    }

    private fun expired(claim: Claim, now: Long) =
        claim.holder != self && now - claim.lastHeardAt > leaseMillis + LEASE_MARGIN_MILLIS

    private fun ranksFirst(server: BackendServerId, live: Collection<VmId>): Boolean {
        val rank = rank(server, self)
        return live.none { it != self && rank(server, it) > rank }
    }

    private fun rank(server: BackendServerId, vm: VmId): Double = RendezvousHashing.unitHash(server.value, vm.value)

    private fun recordFence(server: BackendServerId, fence: Long) {
        highestFences.merge(server, fence, ::maxOf)
    }

    private companion object {
        /** Covers the reports of a holder that were in transit, and the drift between two monotonic clocks. */
        const val LEASE_MARGIN_MILLIS = 500L

        /** Covers a link that goes silent, the suspicion of the node behind it, and the link that replaces it. */
        const val MAX_RELINK_MILLIS = 9_000L

        /** Several report intervals of peers: valid claims have been received by then. */
        const val FRESH_START_WAIT_MILLIS = 1_000L

        /** Claims on removed servers are dropped after this time, which is longer than any server is away. */
        const val FORGET_AFTER_MILLIS = 60_000L

        /** Added to the lease after a refused token: the other holder is unknown and must be heard first. */
        const val REFUSED_BACKOFF_MILLIS = 2_000L

        /** Added to the token's time after a refusal; covers the clock of another node that was ahead. */
        const val FENCE_JUMP_SECONDS = 4_096L
        const val NODE_NUMBER_BITS = 24
    }
}
