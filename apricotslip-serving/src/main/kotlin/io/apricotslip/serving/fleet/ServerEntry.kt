package io.apricotslip.serving.fleet

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.ZoneId

/**
 * What a backend server publishes about itself.
 *
 * @property startedAtMillis Unix time of its start; tells two lives under one id apart.
 * @property requestSlots requests that it works on at once.
 * @property leaving whether it announced that it leaves.
 * @property adapters versions of the adapters that it holds, by adapter.
 */
public data class ServerEntry(
    public val id: BackendServerId,
    public val service: ServiceId,
    public val host: String,
    public val port: Int,
    public val zone: ZoneId,
    public val startedAtMillis: Long,
    public val requestSlots: Int,
    public val leaving: Boolean = false,
    public val models: Set<ModelId> = emptySet(),
    public val adapters: Map<ServedAdapter, Long> = emptyMap(),
)
