package io.apricotslip.bench.load

import io.apricotslip.api.work.WorkClass

/**
 * What a load run sends.
 *
 * @property targets callers' ports of nodes as `host:port`; requests go to them in turn.
 * @property adapters names of adapters, the most popular first.
 * @property rate requests a second.
 * @property seconds length of the run.
 * @property exponent of the Zipf distribution of popularity.
 * @property shares part of each class; together 1.
 * @property maxTokens tokens asked for by class.
 * @property seed of arrivals, adapters and classes.
 */
internal data class LoadOptions(
    val targets: List<String>,
    val adapters: List<String>,
    val rate: Double,
    val seconds: Int,
    val exponent: Double = 1.0,
    val shares: Map<WorkClass, Double> = DEFAULT_SHARES,
    val maxTokens: Map<WorkClass, Int> = DEFAULT_TOKENS,
    val deadlineMillis: Long = 30_000,
    val seed: Long = 1,
)

internal val DEFAULT_SHARES: Map<WorkClass, Double> =
    mapOf(WorkClass.INTERACTIVE to 0.6, WorkClass.PLAN to 0.25, WorkClass.DEFERRABLE to 0.15)

internal val DEFAULT_TOKENS: Map<WorkClass, Int> =
    mapOf(WorkClass.INTERACTIVE to 40, WorkClass.PLAN to 200, WorkClass.DEFERRABLE to 120)
