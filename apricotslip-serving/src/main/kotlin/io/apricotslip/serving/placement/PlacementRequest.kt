package io.apricotslip.serving.placement

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.ServedAdapter

/**
 * The properties of a request that decide on which engine it is placed.
 *
 * @property minVersion oldest version of the adapter that may answer, or null when any may.
 * @property promptTokens length of the prompt.
 * @property outputTokens maximum length of the answer.
 * @property budgetMillis longest time that is worth waiting for the first event in the queue of an engine.
 * @property loadBudgetMillis the same when an adapter must be loaded first; such a wait keeps no engine busy.
 * @property onTimeMillis time left in which the first event is within the latency objective.
 * @property targetGapMillis longest gap between events that is on time; 0 when the request has no such objective.
 * @property excluded servers that were attempted without success.
 */
public data class PlacementRequest(
    public val adapter: ServedAdapter,
    public val minVersion: Long?,
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val budgetMillis: Long,
    public val loadBudgetMillis: Long = budgetMillis,
    public val onTimeMillis: Long = budgetMillis,
    public val targetGapMillis: Long = 0,
    public val excluded: Set<BackendServerId> = emptySet(),
)
