package io.apricotslip.platform

import io.apricotslip.api.fleet.VmList
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono

/** A value read from the configuration service, with the revision that the service gave it. */
public data class PublishedValue(public val revision: Long, public val text: String)

/** Reads and watches what the platform publishes. Nothing can be written. */
public interface PlatformClient {
    /** Reads [key] once. Fails when the platform does not answer within the time limit. */
    public fun read(key: String): Mono<PublishedValue>

    /** Reads the list of VMs once. */
    public fun readList(): Mono<VmList>

    /** Values of [key] as they change; reconnects with backoff and never ends. */
    public fun watch(key: String): Flux<PublishedValue>

    /** Lists of VMs as they change; reconnects with backoff and never ends. */
    public fun watchList(): Flux<VmList>
}
