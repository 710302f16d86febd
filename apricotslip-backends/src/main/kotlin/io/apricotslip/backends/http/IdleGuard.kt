package io.apricotslip.backends.http

import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Nothing arrived for [millis] although it was asked for. */
internal class SilentException(val millis: Long) : RuntimeException("silent for $millis ms")

/**
 * Fails a stream that is silent while its subscriber waits. A subscriber that asks for nothing is no silence, unlike
 * with [Flux.timeout].
 *
 * @property firstMillis limit until the first element.
 * @property nextMillis limit between elements.
 */
internal class IdleGuard(
    private val firstMillis: Long,
    private val nextMillis: Long,
    private val scheduler: Scheduler,
) {
    private inner class Watch {
        private val demand = AtomicLong()

        @Volatile
        private var since = now()

        @Volatile
        private var limit = firstMillis

        fun requested(n: Long) {
            if (demand.getAndAccumulate(n, ::addCapped) == 0L) since = now()
        }

        fun received() {
            demand.updateAndGet { if (it == Long.MAX_VALUE) it else it - 1 }
            limit = nextMillis
            since = now()
        }

        fun silent(): Boolean = demand.get() > 0 && now() - since >= limit

        fun failure(): Mono<Void> = Flux.interval(period(), scheduler)
            .filter { silent() }
            .next()
            .flatMap { Mono.error(SilentException(limit)) }
    }

    /** Guards [source]; each subscription is watched on its own. */
    fun <T : Any> guard(source: Flux<T>): Flux<T> = Flux.defer {
        val watch = Watch()
        source
            .doOnNext { watch.received() }
            .doOnRequest(watch::requested)
            .takeUntilOther(watch.failure())
    }

    private fun period() = Duration.ofMillis(maxOf(1, minOf(firstMillis, nextMillis) / CHECKS_PER_LIMIT))

    private fun now() = scheduler.now(TimeUnit.MILLISECONDS)

    private fun addCapped(held: Long, more: Long): Long =
        if (held > Long.MAX_VALUE - more) Long.MAX_VALUE else held + more

    private companion object {
        const val CHECKS_PER_LIMIT = 8
    }
}
