package io.apricotslip.serving.fleet

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.SoftwareVersion
import io.apricotslip.api.id.ZoneId
import io.apricotslip.serving.published.AuthorCount

/**
 * What a backend server publishes about itself.
 *
 * @property startedAtMillis Unix time of its start; distinguishes two incarnations under one id.
 * @property sequence number of entries that this incarnation wrote before; it starts anew with each incarnation.
 * @property requestSlots number of requests that it processes concurrently.
 * @property leaving whether it announced that it leaves.
 * @property software version of the server's software; null when the entry names none that can be read.
 * @property adapters resident adapters with their versions.
 */
public data class ServerEntry(
    public val id: BackendServerId,
    public val service: ServiceId,
    public val host: String,
    public val port: Int,
    public val zone: ZoneId,
    public val startedAtMillis: Long,
    public val requestSlots: Int,
    public val sequence: Long = 0,
    public val leaving: Boolean = false,
    public val models: Set<ModelId> = emptySet(),
    public val adapters: Map<ServedAdapter, Long> = emptyMap(),
    public val software: SoftwareVersion? = null,
) {
    /** How the server counts its entries. */
    internal val count: AuthorCount
        get() = AuthorCount.Entry(startedAtMillis, sequence, leaving)
}
