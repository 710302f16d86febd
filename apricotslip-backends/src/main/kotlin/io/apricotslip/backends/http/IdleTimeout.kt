package io.apricotslip.backends.http

import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import java.time.Duration
import java.util.concurrent.atomic.AtomicLong

/** The expected response or stream element did not arrive within [millis]. */
internal class ResponseTimeoutException(val millis: Long) : RuntimeException("silent for $millis ms")

/**
 * Fails a stream that emits nothing while its subscriber has outstanding demand. Unlike with [Flux.timeout], time
 * without demand does not count as idle, and neither does a pause of the whole process: idle time is the number of
 * periodic checks without an element, and is not read from a clock.
 *
 * @property firstMillis idle timeout before the first element.
 * @property nextMillis idle timeout between elements.
 */
internal class IdleTimeout(
    private val firstMillis: Long,
    private val nextMillis: Long,
    private val scheduler: Scheduler,
) {
    private inner class Monitor {
        private val outstanding = AtomicLong()
        private val idleMillis = AtomicLong()

        @Volatile
        private var limitMillis = firstMillis

        fun onRequest(n: Long) {
            if (outstanding.getAndAccumulate(n, ::addCapped) == 0L) idleMillis.set(0)
        }

        fun onNext() {
            outstanding.updateAndGet { if (it == Long.MAX_VALUE) it else it - 1 }
            limitMillis = nextMillis
            idleMillis.set(0)
        }

        fun timeout(): Mono<Void> = Mono.delay(Duration.ofMillis(checkPeriodMillis), scheduler)
            .repeat()
            .filter { outstanding.get() > 0 && idleMillis.addAndGet(checkPeriodMillis) >= limitMillis }
            .next()
            .flatMap { Mono.error(ResponseTimeoutException(limitMillis)) }
    }

    private val checkPeriodMillis = maxOf(1, minOf(firstMillis, nextMillis) / CHECKS_PER_TIMEOUT)

    /** Applies the timeout to [source], to each subscription separately. */
    fun <T : Any> applyTo(source: Flux<T>): Flux<T> = Flux.defer {
        val monitor = Monitor()
        source
            .doOnNext { monitor.onNext() }
            .doOnRequest(monitor::onRequest)
            .takeUntilOther(monitor.timeout())
    }

    private fun addCapped(demand: Long, n: Long): Long = if (demand > Long.MAX_VALUE - n) Long.MAX_VALUE else demand + n

    private companion object {
        const val CHECKS_PER_TIMEOUT = 8
    }
}
