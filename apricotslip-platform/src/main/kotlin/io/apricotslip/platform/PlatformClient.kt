package io.apricotslip.platform

import io.apricotslip.api.fleet.VmList
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono

/** A value read from the configuration service, with the revision that the service assigned to it. */
public data class PublishedValue(public val revision: Long, public val text: String)

/** Read-only client of the platform's configuration service and of its list of VMs. */
public interface PlatformClient {
    /** Reads [key] once. Fails with [PlatformException], also when the platform does not answer within the timeout. */
    public fun read(key: String): Mono<PublishedValue>

    /** Reads the list of VMs once. Fails with [PlatformException], or [IllegalArgumentException] if it is invalid. */
    public fun readList(): Mono<VmList>

    /** Emits the value of [key] and each newer revision; retries failures with backoff and never completes. */
    public fun watch(key: String): Flux<PublishedValue>

    /** Emits the list of VMs and each newer revision; retries failures with backoff and never completes. */
    public fun watchList(): Flux<VmList>
}
