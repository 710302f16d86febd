package io.apricotslip.platform

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.test.StepVerifier
import reactor.test.scheduler.VirtualTimeScheduler
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.time.Duration

/** Runs the watch in virtual time against scripted answers. */
class WatchTest {
    private val afterArguments = mutableListOf<Long?>()
    private val options = PlatformOptions(retryMillis = 500, maxRetryMillis = 10_000)

    @BeforeEach
    fun virtualTime() {
        VirtualTimeScheduler.getOrSet()
    }

    @AfterEach
    fun realTime() = VirtualTimeScheduler.reset()

    /** Watches a service that returns [answers] in turn and then never answers. */
    private fun watch(vararg answers: Mono<Long>): Flux<Long> {
        val call = { after: Long? ->
            afterArguments += after
            answers.getOrElse(afterArguments.size - 1) { Mono.never() }
        }
        return Watch("p", options, call, { it }).values()
    }

    private fun failure() = Mono.error<Long>(PlatformException("watch", "p", "down"))

    @Test
    fun `each revision is emitted and the next call waits for a newer one`() {
        StepVerifier.create(watch(Mono.just(3), Mono.just(5)).take(2)).expectNext(3, 5).verifyComplete()
        expectThat(afterArguments).containsExactly(null, 3L)
    }

    @Test
    fun `a call that returned no change is repeated after a delay`() {
        StepVerifier.withVirtualTime { watch(Mono.just(3), Mono.empty(), Mono.just(4)) }
            .expectNext(3)
            .expectNoEvent(Duration.ofMillis(499))
            .thenAwait(Duration.ofMillis(1))
            .expectNext(4)
            .thenCancel()
            .verify()
        expectThat(afterArguments).containsExactly(null, 3L, 3L)
    }

    @Test
    fun `after a failure the value is read again and emitted only when it is newer`() {
        StepVerifier.withVirtualTime { watch(Mono.just(3), failure(), Mono.just(3), Mono.just(4)) }
            .expectNext(3)
            .thenAwait(Duration.ofSeconds(30))
            .expectNext(4)
            .thenCancel()
            .verify()
        expectThat(afterArguments).containsExactly(null, 3L, null, 3L)
    }

    @Test
    fun `a stale answer after a failure does not emit an older revision`() {
        StepVerifier.withVirtualTime { watch(Mono.just(3), failure(), Mono.just(2), Mono.just(4)) }
            .expectNext(3)
            .thenAwait(Duration.ofSeconds(30))
            .expectNext(4)
            .thenCancel()
            .verify()
        expectThat(afterArguments).containsExactly(null, 3L, null, 3L)
    }

    @Test
    fun `a platform that answers at once without a change is not polled in a tight loop`() {
        StepVerifier.withVirtualTime { watch(Mono.just(3), *Array(1_000) { Mono.just(3L) }) }
            .expectNext(3)
            .thenAwait(Duration.ofMinutes(1))
            .thenCancel()
            .verify()
        expectThat(afterArguments.size).isLessThan(60)
    }

    @Test
    fun `a platform that is down for an hour is retried with backoff`() {
        StepVerifier.withVirtualTime { watch(*Array(10_000) { failure() }) }
            .expectSubscription()
            .expectNoEvent(Duration.ofHours(1))
            .thenCancel()
            .verify()
        expectThat(afterArguments.size).isGreaterThan(3_600 / 15).isLessThan(3_600 / 5 + 20)
    }
}
