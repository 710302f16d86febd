package io.apricotslip.standins.engine

import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.settings.EngineSettings
import java.time.Duration

private const val NANOS_PER_MILLI = 1e6
private const val CHARS_PER_PREFILL_UNIT = 1_000.0

/** Hears what happens to the streams of a batch. */
internal interface BatchListener {
    /** [stream] left the queue and runs. */
    fun onRun(stream: CompletionStream)

    /** [stream] has all its tokens. */
    fun onWhole(stream: CompletionStream)
}

/**
 * Continuous batching: between two steps waiting streams join, and each step makes one token for each running stream.
 * One timer drives it. Not thread safe; call it on [loop].
 */
internal class Batch(
    private val settings: EngineSettings,
    private val loop: EventLoop,
    private val queue: RequestQueue,
    private val cache: PrefixCache,
    private val listener: BatchListener,
) {
    private val running = mutableListOf<CompletionStream>()
    private var generation = 0
    private var isStepping = false
    private var coldRequestsLeft = settings.speed.coldRequests

    /** Streams that run. */
    val size: Int get() = running.size

    /** Streams that may still join. */
    val room: Int get() = settings.batch - running.size

    /** Tokens made. */
    var tokens: Long = 0
        private set

    /** Starts to step when there is work and it does not step yet. */
    fun kick() {
        if (!isStepping) startStep()
    }

    /** Takes [stream] out. */
    fun remove(stream: CompletionStream) {
        running.remove(stream)
    }

    /** Drops everything; the next requests are slow again. */
    fun restart() {
        running.clear()
        generation++
        isStepping = false
        coldRequestsLeft = settings.speed.coldRequests
    }

    private fun startStep() {
        val prefillMillis = admit()
        isStepping = running.isNotEmpty()
        if (!isStepping) return
        val speed = settings.speed
        val millis = speed.stepMillis + speed.stepMillisPerRequest * running.size + prefillMillis
        val startedIn = generation
        loop.schedule(Duration.ofNanos((millis * NANOS_PER_MILLI).toLong())) {
            if (startedIn == generation) endStep()
        }
    }

    private fun endStep() {
        running.toList().forEach(::advance)
        startStep()
    }

    private fun advance(stream: CompletionStream) {
        stream.produce()
        tokens++
        if (!stream.isWhole) return
        running.remove(stream)
        listener.onWhole(stream)
    }

    /** Lets waiting streams join; gives the time of their prefill. */
    private fun admit(): Double {
        var millis = 0.0
        while (room > 0) {
            val stream = queue.poll() ?: break
            running += stream
            stream.run()
            listener.onRun(stream)
            millis += prefillMillis(stream)
        }
        return millis
    }

    private fun prefillMillis(stream: CompletionStream): Double {
        val chars = cache.admit(stream.adapter, stream.body.prompt)
        val millis = settings.speed.prefillMillisPerThousandChars * chars / CHARS_PER_PREFILL_UNIT
        if (coldRequestsLeft == 0) return millis
        coldRequestsLeft--
        return millis + settings.speed.coldMillis
    }
}
