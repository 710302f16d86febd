package io.apricotslip.serving.state

import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.ServiceId

/**
 * A service of the desired state.
 *
 * @property maxConnections connections that one backend server accepts from all callers together.
 * @property healthPath path of the status check of its backend servers; null when it has none.
 * @property engine the engines that the backend servers run; null for a service that serves no models.
 */
public data class ServiceSpec(
    public val name: ServiceId,
    public val maxConnections: Int,
    public val engine: EngineSpec? = null,
    public val healthPath: String? = null,
) {
    /**
     * An engine that serves models and adapters.
     *
     * @property requestSlots requests in one batch.
     * @property kvCacheTokens prompt and output tokens that fit into the KV cache of one engine.
     * @property adapterSlots adapters that one engine holds, those being loaded included.
     * @property weightsMegabytes memory for the weights of models and adapters.
     * @property modelLoadsPerSecond model loads that the weight store allows to the whole fleet.
     */
    public data class EngineSpec(
        public val requestSlots: Int,
        public val kvCacheTokens: Long,
        public val adapterSlots: Int,
        public val weightsMegabytes: Double,
        public val modelLoadsPerSecond: Double,
        public val models: List<ModelSpec>,
    ) {
        /** Adapter slots that fit beside the weights of [residentModels]. */
        public fun usableAdapterSlots(residentModels: Set<ModelId>): Int {
            val resident = models.filter { it.id in residentModels }.ifEmpty { models.take(1) }
            val slotMegabytes = resident.maxOfOrNull { it.adapterMegabytes }?.coerceAtLeast(1.0) ?: 1.0
            val fitting = (weightsMegabytes - resident.sumOf { it.megabytes }) / slotMegabytes
            return minOf(adapterSlots, fitting.toInt().coerceAtLeast(0))
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
