package io.apricotslip.serving.placement

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.ServedAdapter

/**
 * A request for an engine, as far as its placement depends on it.
 *
 * @property minVersion oldest version of the adapter that may answer, or null when any may.
 * @property promptTokens length of the prompt.
 * @property outputTokens largest length of the answer.
 * @property budgetMillis time in which the first event is worth waiting for in the queue of an engine.
 * @property loadBudgetMillis the same when an adapter must be loaded first; such a wait keeps no engine busy.
 * @property targetGapMillis longest pause between events that is on time; 0 when there is none.
 * @property excluded servers that were tried in vain.
 */
public data class PlacementRequest(
    public val adapter: ServedAdapter,
    public val minVersion: Long?,
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val budgetMillis: Long,
    public val loadBudgetMillis: Long = budgetMillis,
    public val targetGapMillis: Long = 0,
    public val excluded: Set<BackendServerId> = emptySet(),
)
