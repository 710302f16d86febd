package io.apricotslip.backends.http

import org.junit.jupiter.api.Test
import reactor.core.publisher.Flux
import reactor.core.publisher.Sinks
import reactor.test.StepVerifier
import reactor.test.scheduler.VirtualTimeScheduler
import java.time.Duration

class IdleGuardTest {
    private fun guarded(source: Flux<Int>) =
        IdleGuard(firstMillis = 1_000, nextMillis = 400, VirtualTimeScheduler.get()).guard(source)

    @Test
    fun `silence before the first element has its own limit`() {
        StepVerifier.withVirtualTime { guarded(Flux.never()) }
            .expectSubscription()
            .expectNoEvent(Duration.ofMillis(900))
            .thenAwait(Duration.ofMillis(200))
            .verifyError(SilentException::class.java)
    }

    @Test
    fun `silence between elements fails the stream`() {
        StepVerifier.withVirtualTime { guarded(Flux.just(1).concatWith(Flux.never())) }
            .expectNext(1)
            .thenAwait(Duration.ofMillis(500))
            .verifyError(SilentException::class.java)
    }

    @Test
    fun `a subscriber that asks for nothing is no silence`() {
        StepVerifier.withVirtualTime({ guarded(Flux.just(1, 2)) }, 1)
            .expectNext(1)
            .expectNoEvent(Duration.ofHours(1))
            .thenRequest(1)
            .expectNext(2)
            .verifyComplete()
    }

    @Test
    fun `elements within the limit keep the stream alive`() {
        val sink = Sinks.many().unicast().onBackpressureBuffer<Int>()
        StepVerifier.withVirtualTime { guarded(sink.asFlux()) }
            .then { sink.tryEmitNext(1) }
            .expectNext(1)
            .thenAwait(Duration.ofMillis(300))
            .then { sink.tryEmitNext(2) }
            .expectNext(2)
            .thenAwait(Duration.ofMillis(300))
            .then { sink.tryEmitComplete() }
            .verifyComplete()
    }
}
