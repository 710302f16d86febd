package io.apricotslip.serving.timing

/**
 * Windowed sums of what one node measured of one incarnation of one server.
 *
 * Workload: a node of 106 sends 2 requests per second to 42 engines, so that its own measurements say almost nothing
 * about one of them. The sums of all nodes do, once they are added ([TimingSums]).
 */
public class ServerTiming {
    private class Bucket(val until: Long) {
        var sums = TimingSums()
    }

    private val buckets = ArrayDeque<Bucket>()

    /** Records a first event after [millis]; [tokens] prompt tokens were to be processed before it. */
    public fun recordFirstEvent(tokens: Long, millis: Long, now: Long): Unit =
        add(TimingSums(firstEvents = 1, tokens = tokens, firstMillis = millis), now)

    /** Records a gap of [millis] between two events of a stream while [running] requests ran at the server. */
    public fun recordGap(millis: Long, running: Int, now: Long): Unit =
        add(TimingSums(gaps = 1, gapMillis = millis, gapRunning = running.toLong()), now)

    /** Records a response that the server began to answer with success. */
    public fun recordSuccess(now: Long): Unit = add(TimingSums(responses = 1), now)

    /** Records a response that failed or broke off, or a failed connection. */
    public fun recordFailure(now: Long): Unit = add(TimingSums(responses = 1, failures = 1), now)

    /** Records a response that reports the server as overloaded. */
    public fun recordOverload(now: Long): Unit = add(TimingSums(responses = 1, overloads = 1), now)

    /** The sums of the window that ends at [now]. */
    public fun sums(now: Long): TimingSums {
        while (buckets.isNotEmpty() && buckets.first().until <= now - WINDOW_MILLIS) buckets.removeFirst()
        return buckets.fold(TimingSums()) { total, bucket ->
            val gapsExpired = bucket.until <= now - GAP_WINDOW_MILLIS
            total + if (gapsExpired) bucket.sums.withoutGaps() else bucket.sums
        }
    }

    private fun add(sample: TimingSums, now: Long) {
        val last = buckets.lastOrNull()?.takeIf { now < it.until }
        val bucket = last ?: Bucket(now + BUCKET_MILLIS).also { buckets.addLast(it) }
        bucket.sums += sample
        while (buckets.first().until <= now - WINDOW_MILLIS) buckets.removeFirst()
    }

    private companion object {
        /** Five responses of an engine that gets two per second, which is what a failure share needs. */
        const val WINDOW_MILLIS = 2_500L

        /**
         * A change of speed must be known after 2 s, with reports up to 0.9 s old. A server that has become slow gives
         * fewer gaps than before, so that older ones would outnumber them in a longer window.
         */
        const val GAP_WINDOW_MILLIS = 1_500L
        const val BUCKET_MILLIS = 250L
    }
}
