package io.apricotslip.serving.state

import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.ServiceId

/**
 * A service of the desired state.
 *
 * @property maxConnections connections that one backend server accepts from all callers together.
 * @property engine what its backend servers are, when they serve models.
 */
public data class ServiceSpec(
    public val name: ServiceId,
    public val maxConnections: Int,
    public val engine: EngineSpec? = null,
) {
    /**
     * An engine that serves models and adapters.
     *
     * @property requestSlots requests in one batch.
     * @property kvCacheTokens tokens of prompts and answers that fit into the memory of one engine.
     * @property adapterSlots adapters that one engine holds, those on their way included.
     * @property weightsMegabytes room for weights of models and adapters.
     * @property modelLoadsPerSecond loads of models that the weight store allows to the whole fleet.
     */
    public data class EngineSpec(
        public val requestSlots: Int,
        public val kvCacheTokens: Long,
        public val adapterSlots: Int,
        public val weightsMegabytes: Double,
        public val modelLoadsPerSecond: Double,
        public val models: List<ModelSpec>,
    ) {
        /** Places that the weights of the models in [held] leave for adapters. */
        public fun usableAdapterSlots(held: Set<ModelId>): Int {
            val present = models.filter { it.id in held }.ifEmpty { models.take(1) }
            val size = present.maxOfOrNull { it.adapterMegabytes }?.coerceAtLeast(1.0) ?: 1.0
            val room = (weightsMegabytes - present.sumOf { it.megabytes }) / size
            return minOf(adapterSlots, room.toInt().coerceAtLeast(0))
        }
    }

    /**
     * A model that the engines of a service may hold.
     *
     * @property loadMillis time of a load from the weight store.
     */
    public data class ModelSpec(
        public val id: ModelId,
        public val megabytes: Double,
        public val adapterMegabytes: Double,
        public val loadMillis: Long,
    )
}
