package io.apricotslip.bench.load

import io.apricotslip.api.work.WorkClass

/**
 * Traffic of a load run.
 *
 * @property targets callers' ports of nodes as `host:port`; requests are sent to them round-robin.
 * @property adapters names of adapters, the most popular first.
 * @property rate requests per second.
 * @property seconds duration of the run.
 * @property exponent exponent of the Zipf distribution of popularity.
 * @property classShares share of each class; their sum is 1.
 * @property maxTokens requested tokens by class.
 * @property seed seed of arrivals, adapters and classes.
 */
internal data class LoadOptions(
    val targets: List<String>,
    val adapters: List<String>,
    val rate: Double,
    val seconds: Int,
    val exponent: Double = 1.0,
    val classShares: Map<WorkClass, Double> = DEFAULT_SHARES,
    val maxTokens: Map<WorkClass, Int> = DEFAULT_TOKENS,
    val deadlineMillis: Long = 30_000,
    val seed: Long = 1,
)

internal val DEFAULT_SHARES: Map<WorkClass, Double> =
    mapOf(WorkClass.INTERACTIVE to 0.6, WorkClass.PLAN to 0.25, WorkClass.DEFERRABLE to 0.15)

internal val DEFAULT_TOKENS: Map<WorkClass, Int> =
    mapOf(WorkClass.INTERACTIVE to 40, WorkClass.PLAN to 200, WorkClass.DEFERRABLE to 120)
