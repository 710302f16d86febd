package io.apricotslip.backends.http

import org.junit.jupiter.api.Test
import reactor.core.publisher.Flux
import reactor.core.publisher.Sinks
import reactor.test.StepVerifier
import reactor.test.scheduler.VirtualTimeScheduler
import java.time.Duration

class IdleTimeoutTest {
    private fun withIdleTimeout(source: Flux<Int>) =
        IdleTimeout(firstMillis = 1_000, nextMillis = 400, VirtualTimeScheduler.get()).applyTo(source)

    @Test
    fun `the first element has its own timeout`() {
        StepVerifier.withVirtualTime { withIdleTimeout(Flux.never()) }
            .expectSubscription()
            .expectNoEvent(Duration.ofMillis(900))
            .thenAwait(Duration.ofMillis(200))
            .verifyError(ResponseTimeoutException::class.java)
    }

    @Test
    fun `a stream that is idle between elements fails`() {
        StepVerifier.withVirtualTime { withIdleTimeout(Flux.just(1).concatWith(Flux.never())) }
            .expectNext(1)
            .thenAwait(Duration.ofMillis(500))
            .verifyError(ResponseTimeoutException::class.java)
    }

    @Test
    fun `time without demand does not count as idle`() {
        StepVerifier.withVirtualTime({ withIdleTimeout(Flux.just(1, 2)) }, 1)
            .expectNext(1)
            .expectNoEvent(Duration.ofHours(1))
            .thenRequest(1)
            .expectNext(2)
            .verifyComplete()
    }

    @Test
    fun `elements within the timeout keep the stream alive`() {
        val sink = Sinks.many().unicast().onBackpressureBuffer<Int>()
        StepVerifier.withVirtualTime { withIdleTimeout(sink.asFlux()) }
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
