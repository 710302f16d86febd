package io.apricotslip.backends.http

import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import java.time.Duration
import java.util.concurrent.atomic.AtomicLong

/** Nothing arrived for [millis] although it was asked for. */
internal class SilentException(val millis: Long) : RuntimeException("silent for $millis ms")

/**
 * Fails a stream that is silent while its subscriber waits. Unlike with [Flux.timeout], a subscriber that asks for
 * nothing is no silence, and neither is a pause of the whole process: silence is counted in checks and not read off a
 * clock.
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
        private val idleMillis = AtomicLong()

        @Volatile
        private var limit = firstMillis

        fun requested(n: Long) {
            if (demand.getAndAccumulate(n, ::addCapped) == 0L) idleMillis.set(0)
        }

        fun received() {
            demand.updateAndGet { if (it == Long.MAX_VALUE) it else it - 1 }
            limit = nextMillis
            idleMillis.set(0)
        }

        fun failure(): Mono<Void> = Mono.delay(Duration.ofMillis(periodMillis), scheduler)
            .repeat()
            .filter { demand.get() > 0 && idleMillis.addAndGet(periodMillis) >= limit }
            .next()
            .flatMap { Mono.error(SilentException(limit)) }
    }

    private val periodMillis = maxOf(1, minOf(firstMillis, nextMillis) / CHECKS_PER_LIMIT)

    /** Guards [source]; each subscription is watched on its own. */
    fun <T : Any> guard(source: Flux<T>): Flux<T> = Flux.defer {
        val watch = Watch()
        source
            .doOnNext { watch.received() }
            .doOnRequest(watch::requested)
            .takeUntilOther(watch.failure())
    }

    private fun addCapped(held: Long, more: Long): Long =
        if (held > Long.MAX_VALUE - more) Long.MAX_VALUE else held + more

    private companion object {
        const val CHECKS_PER_LIMIT = 8
    }
}
