package io.apricotslip.serving.member

import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.CrashEvidence
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.api.peer.FleetMessage.ServerClaim
import io.apricotslip.api.peer.FleetMessage.ServerTotal
import io.apricotslip.api.peer.FleetMessage.ServerUse
import io.apricotslip.api.peer.StoreProgress
import io.apricotslip.serving.pace.PaceExchangeState
import io.apricotslip.serving.timing.TimingExchangeState

/** What a [FleetExchange] sends to other nodes, and where it puts what they send. */
public interface FleetExchangeState :
    ServerConditionState,
    AllowanceState,
    PaceExchangeState,
    TimingExchangeState {
    /** Requests of this node at backend servers. */
    public fun ownUses(): List<ServerUse>

    /** Claims that this node holds. */
    public fun ownClaims(now: Long): List<ServerClaim>

    /** Claims of all nodes that are known to this node. */
    public fun knownClaims(now: Long): List<ServerClaim>

    /** Work of all nodes at backend servers, as far as known to this node. */
    public fun totals(now: Long): List<ServerTotal>

    /** Replaces the work that [source] reported, its own or that of the nodes that report to it. */
    public fun applyUses(source: VmId, uses: List<ServerUse>, now: Long)

    /** Removes the work that [source] reported. */
    public fun removeUses(source: VmId)

    /** Replaces the work that [source] reported by [totals], less [own], the work of this node that they contain. */
    public fun applyTotals(source: VmId, totals: List<ServerTotal>, own: List<ServerUse>, now: Long)

    /** Applies a claim that [via] passed on. */
    public fun applyClaim(via: VmId, claim: ServerClaim, now: Long)

    /** Evidence on crashes of servers that this node has from itself and others; null when there is none. */
    public fun crashEvidence(now: Long): CrashEvidence?

    /** Requests of callers that this node received within the last seconds. */
    public fun ownRequests(now: Long): Int

    /** Records that [nodes] nodes received [requests] requests, this node included. */
    public fun recordFleetRequests(nodes: Int, requests: Int, now: Long)

    /** Limits that backend servers named lately, as far as known to this node. */
    public fun serverLimits(now: Long): List<FleetMessage.ServerLimit>

    /** Applies limits that another node passed on. */
    public fun applyServerLimits(limits: List<FleetMessage.ServerLimit>, now: Long)

    /** How far this node has read the store; null when it has not read it. */
    public fun storeProgress(): StoreProgress?

    /** Applies how far other nodes have read the store. */
    public fun applyStoreProgress(progress: StoreProgress, now: Long)

    /** Merges the crash evidence of another node. */
    public fun applyCrashEvidence(evidence: CrashEvidence, now: Long)
}
