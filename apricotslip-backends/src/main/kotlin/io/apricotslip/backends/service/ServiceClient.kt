package io.apricotslip.backends.service

import io.apricotslip.api.manifest.ReplicaEntry
import io.apricotslip.api.outcome.Outcome
import reactor.core.publisher.Mono

/** A call to a plain service. */
public class ServiceCall(
    public val method: String,
    public val path: String,
    public val contentType: String?,
    public val body: ByteArray,
    public val idempotencyKey: String?,
    public val traceparent: String? = null,
)

/** The answer of a plain service. */
public class ServiceAnswer(public val status: Int, public val contentType: String?, public val body: ByteArray)

/** Client of the replicas of plain services. */
public fun interface ServiceClient {
    /**
     * Sends [call] to [replica] at most once. The outcome is [Outcome.NotRun] only when nothing was sent or the replica
     * refused before doing any work.
     */
    public fun call(replica: ReplicaEntry, call: ServiceCall): Mono<Outcome<ServiceAnswer>>
}
