package io.apricotslip.platform

import org.tinylog.kotlin.Logger
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.util.retry.Retry
import java.time.Duration

/**
 * Turns calls of one resource into an endless stream of its growing revisions.
 *
 * The first call, and the first after each failure, reads at once; the others wait for a change. An answer that is not
 * newer than the last is not passed on, and counts as a failure when it came in place of a change.
 */
internal class Watch<T : Any>(
    private val peer: String,
    private val options: PlatformOptions,
    private val call: (after: Long?) -> Mono<T>,
    private val revision: (T) -> Long,
) {
    private inner class Run {
        private var last: Long? = null
        private var waiting = false

        fun values(): Flux<T> = Mono.defer(::next)
            .repeatWhen { rounds -> rounds.concatMap { emitted -> pause(emitted) } }
            .retryWhen(backoff())

        private fun next(): Mono<T> {
            val after = last.takeIf { waiting }
            return call(after)
                .doOnSuccess { waiting = true }
                .doOnError { waiting = false }
                .filter { isNews(it, after) }
                .doOnNext { last = revision(it) }
        }

        private fun isNews(value: T, after: Long?): Boolean {
            val known = last ?: return true
            if (revision(value) > known) return true
            if (after == null) return false
            waiting = false
            throw PlatformException("watch", peer, "revision ${revision(value)} in answer to after=$known")
        }
    }

    /** The stream; each subscriber has one of its own. */
    fun values(): Flux<T> = Flux.defer { Run().values() }

    private fun pause(emitted: Long): Mono<Long> =
        if (emitted > 0) Mono.just(0) else Mono.delay(Duration.ofMillis(options.retryMillis))

    private fun backoff() = Retry.backoff(Long.MAX_VALUE, Duration.ofMillis(options.retryMillis))
        .maxBackoff(Duration.ofMillis(options.maxRetryMillis))
        .jitter(options.retryJitter)
        .transientErrors(true)
        .doBeforeRetry { Logger.warn { "event=watch_failed step=watch peer=$peer reason=\"${it.failure().message}\"" } }
}
