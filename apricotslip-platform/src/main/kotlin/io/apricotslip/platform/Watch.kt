package io.apricotslip.platform

import org.tinylog.kotlin.Logger
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.util.retry.Retry
import java.time.Duration

/**
 * Polls one resource and emits its revisions in increasing order as a stream that never completes.
 *
 * The first call, and the first one after each failure, returns the current value at once; all others are long polls
 * that wait for a change. A value that is not newer than the last one is not emitted; in answer to a long poll it
 * counts as a failure.
 */
internal class Watch<T : Any>(
    private val peer: String,
    private val options: PlatformOptions,
    private val call: (after: Long?) -> Mono<T>,
    private val revision: (T) -> Long,
) {
    private inner class Poller {
        private var lastRevision: Long? = null
        private var longPoll = false

        fun values(): Flux<T> = Mono.defer(::poll)
            .repeatWhen { completions -> completions.concatMap { emitted -> delayAfter(emitted) } }
            .retryWhen(backoff())

        private fun poll(): Mono<T> {
            val after = lastRevision.takeIf { longPoll }
            return call(after)
                .doOnSuccess { longPoll = true }
                .doOnError { longPoll = false }
                .filter { isNewer(it, after) }
                .doOnNext { lastRevision = revision(it) }
        }

        private fun isNewer(value: T, after: Long?): Boolean {
            val known = lastRevision ?: return true
            if (revision(value) > known) return true
            if (after == null) return false
            longPoll = false
            throw PlatformException("watch", peer, "revision ${revision(value)} in answer to after=$known")
        }
    }

    /** The stream of values; each subscriber polls independently. */
    fun values(): Flux<T> = Flux.defer { Poller().values() }

    private fun delayAfter(emitted: Long): Mono<Long> =
        if (emitted > 0) Mono.just(0) else Mono.delay(Duration.ofMillis(options.retryMillis))

    private fun backoff() = Retry.backoff(Long.MAX_VALUE, Duration.ofMillis(options.retryMillis))
        .maxBackoff(Duration.ofMillis(options.maxRetryMillis))
        .jitter(options.retryJitter)
        .transientErrors(true)
        .doBeforeRetry { Logger.warn { "event=watch_failed step=watch peer=$peer reason=\"${it.failure().message}\"" } }
}
