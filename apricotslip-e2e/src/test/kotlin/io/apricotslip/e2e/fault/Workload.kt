package io.apricotslip.e2e.fault

import io.apricotslip.api.work.WorkClass
import io.apricotslip.e2e.caller.Ask
import io.apricotslip.e2e.caller.CallerClient
import io.apricotslip.e2e.caller.IdempotencyKeys
import io.apricotslip.e2e.cluster.Cluster
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import java.time.Duration
import java.util.Random
import java.util.concurrent.CompletableFuture

/** Callers of a cluster: completions and reservations at a steady rate, drawn with [seed]. */
internal class Workload(private val cluster: Cluster, seed: Long) {
    private val random = Random(seed)
    private val keys = IdempotencyKeys(Random(seed))
    private val caller = CallerClient(cluster.recorder)

    /** Sends [count] requests, one each [interval], to the VMs that [targets] names then; ends when all have ended. */
    fun start(count: Int, interval: Duration, targets: () -> List<String>): CompletableFuture<Void?> = Flux
        .interval(interval)
        .onBackpressureBuffer()
        .take(count.toLong())
        .map { number ->
            if (number % RESERVE_EVERY ==
                0L
            ) {
                reservation(number, targets)
            } else {
                completion(number, targets)
            }
        }
        .flatMap({ it }, count)
        .then()
        .toFuture()

    private fun completion(number: Long, targets: () -> List<String>): Mono<Void> {
        val ask =
            Ask(
                request = "ask-$number",
                adapter = pick(cluster.options.adapters),
                version = pick(listOf("v1", "v2")),
                tokens = MIN_TOKENS + random.nextInt(MORE_TOKENS),
                workClass = pick(WorkClass.entries),
                deadlineMillis = DEADLINE_MILLIS,
            )
        return caller.stream(ask, cluster.node(pick(targets())))
    }

    /** Made through one VM and repeated through others, at once and late. */
    private fun reservation(number: Long, targets: () -> List<String>): Mono<Void> {
        val key = keys.next()
        val repeats =
            listOf(0L, random.nextInt(50).toLong(), LATE_MILLIS + random.nextInt(1_000)).mapIndexed { i, delay ->
                Mono.delay(Duration.ofMillis(delay)).then(
                    Mono.defer {
                        caller.reserve("book-$number-$i", key, cluster.node(pick(targets())), DEADLINE_MILLIS)
                    },
                )
            }
        return Flux.merge(repeats).then()
    }

    @Synchronized
    private fun <T> pick(from: List<T>): T = from[random.nextInt(from.size)]

    private companion object {
        const val RESERVE_EVERY = 8L
        const val MIN_TOKENS = 10
        const val MORE_TOKENS = 50
        const val LATE_MILLIS = 2_000L
        const val DEADLINE_MILLIS = 15_000L
    }
}
