package io.apricotslip.serving.placement

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.placement.PlacementDecision.LoadAdapter
import io.apricotslip.serving.placement.PlacementDecision.Send

/** The order of preference between servers that just started and are at their limits, and all others. */
internal object PacePreference {
    /**
     * The decision of [choose], which gets the servers to leave out; another one only if that decision is for a server
     * of [atLimit], and another server answers within [onTimeMillis] without a load of its own for the request.
     */
    fun choose(
        excluded: Set<BackendServerId>,
        atLimit: Set<BackendServerId>,
        onTimeMillis: Long = Long.MAX_VALUE,
        choose: (Set<BackendServerId>) -> PlacementDecision,
    ): PlacementDecision {
        val preferred = choose(excluded)
        if (atLimit.isEmpty()) return preferred
        val server = when (preferred) {
            is Send -> preferred.server
            is LoadAdapter -> preferred.server
            is PlacementDecision.Wait, is PlacementDecision.Refuse -> return preferred
        }
        if (server.id !in atLimit) return preferred
        val other = choose(excluded + atLimit)
        val otherIsGood = when (other) {
            is Send -> other.estimateMillis <= onTimeMillis && !other.server.degraded
            is LoadAdapter ->
                preferred is LoadAdapter && other.estimateMillis <= onTimeMillis && !other.server.degraded
            is PlacementDecision.Wait, is PlacementDecision.Refuse -> false
        }
        return if (otherIsGood) other else preferred
    }
}
