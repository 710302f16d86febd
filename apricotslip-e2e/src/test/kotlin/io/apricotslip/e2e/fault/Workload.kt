package io.apricotslip.e2e.fault

import io.apricotslip.api.work.WorkClass
import io.apricotslip.e2e.caller.CallerClient
import io.apricotslip.e2e.caller.CompletionRequest
import io.apricotslip.e2e.caller.IdempotencyKeys
import io.apricotslip.e2e.cluster.Cluster
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import java.time.Duration
import java.util.Random
import java.util.concurrent.CompletableFuture

/** Workload of a cluster: completions and reservations at a steady rate, randomized with a fixed seed. */
internal class Workload(private val cluster: Cluster, seed: Long) {
    private val random = Random(seed)
    private val keys = IdempotencyKeys(Random(seed))
    private val caller = CallerClient(cluster.recorder)

    /** Sends [count] requests, one per [interval], to the current [targets]; completes when all requests have ended. */
    fun start(count: Int, interval: Duration, targets: () -> List<String>): CompletableFuture<Void?> = Flux
        .interval(interval)
        .onBackpressureBuffer()
        .take(count.toLong())
        .map { index ->
            if (index % REQUESTS_PER_RESERVATION ==
                0L
            ) {
                reservation(index, targets)
            } else {
                completion(index, targets)
            }
        }
        .flatMap({ it }, count)
        .then()
        .toFuture()

    private fun completion(index: Long, targets: () -> List<String>): Mono<Void> {
        val completion =
            CompletionRequest(
                requestId = "ask-$index",
                adapter = pickRandom(cluster.options.adapters),
                version = pickRandom(listOf("v1", "v2")),
                maxTokens = MIN_TOKENS + random.nextInt(TOKEN_SPREAD),
                workClass = pickRandom(WorkClass.entries),
                deadlineMillis = DEADLINE_MILLIS,
            )
        return caller.stream(completion, cluster.node(pickRandom(targets())))
    }

    /**
     * Sends a reservation and repeats it with the same key, once almost concurrently and once seconds later. Each
     * attempt goes through a randomly chosen VM.
     */
    private fun reservation(index: Long, targets: () -> List<String>): Mono<Void> {
        val key = keys.next()
        val attempts =
            listOf(
                0L,
                random.nextInt(50).toLong(),
                MIN_LATE_REPEAT_MILLIS + random.nextInt(1_000),
            ).mapIndexed { i, delayMillis ->
                Mono.delay(Duration.ofMillis(delayMillis)).then(
                    Mono.defer {
                        caller.reserve("book-$index-$i", key, cluster.node(pickRandom(targets())), DEADLINE_MILLIS)
                    },
                )
            }
        return Flux.merge(attempts).then()
    }

    @Synchronized
    private fun <T> pickRandom(items: List<T>): T = items[random.nextInt(items.size)]

    private companion object {
        const val REQUESTS_PER_RESERVATION = 8L
        const val MIN_TOKENS = 10
        const val TOKEN_SPREAD = 50
        const val MIN_LATE_REPEAT_MILLIS = 2_000L
        const val DEADLINE_MILLIS = 15_000L
    }
}
