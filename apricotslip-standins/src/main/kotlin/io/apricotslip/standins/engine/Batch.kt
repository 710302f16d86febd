package io.apricotslip.standins.engine

import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.settings.EngineSettings
import java.time.Duration

private const val NANOS_PER_MILLI = 1e6
private const val CHARS_PER_PREFILL_UNIT = 1_000.0

/** Receives the state changes of the streams in a batch. */
internal interface BatchListener {
    /** [stream] left the queue and started to run. */
    fun onStarted(stream: CompletionStream)

    /** All tokens of [stream] are generated. */
    fun onCompleted(stream: CompletionStream)
}

/**
 * Continuous batching: each step generates one token for each running stream, and queued streams join the batch
 * between two steps. A single timer drives the steps. Not thread safe; call it on [loop].
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
    private var remainingColdRequests = settings.speed.coldRequests

    /** Number of running streams. */
    val size: Int get() = running.size

    /** Number of streams that may still join. */
    val freeCapacity: Int get() = settings.batch - running.size

    /** Total number of tokens generated, across restarts of the engine. */
    var generatedTokens: Long = 0
        private set

    /** Starts stepping if there is work and no step is scheduled. */
    fun startIfIdle() {
        if (!isStepping) startStep()
    }

    /** Removes [stream] from the batch. */
    fun remove(stream: CompletionStream) {
        running.remove(stream)
    }

    /** Drops all running streams, as on a restart. The next requests are slow again because the engine is cold. */
    fun restart() {
        running.clear()
        generation++
        isStepping = false
        remainingColdRequests = settings.speed.coldRequests
    }

    private fun startStep() {
        val prefillMillis = admitQueued()
        isStepping = running.isNotEmpty()
        if (!isStepping) return
        val speed = settings.speed
        val millis = speed.stepMillis + speed.stepMillisPerRequest * running.size + prefillMillis
        val scheduledGeneration = generation
        loop.schedule(Duration.ofNanos((millis * NANOS_PER_MILLI).toLong())) {
            if (scheduledGeneration == generation) endStep()
        }
    }

    private fun endStep() {
        running.toList().forEach(::advance)
        startStep()
    }

    private fun advance(stream: CompletionStream) {
        stream.generateToken()
        generatedTokens++
        if (!stream.isComplete) return
        running.remove(stream)
        listener.onCompleted(stream)
    }

    /** Moves queued streams into the batch while it has capacity and returns their prefill time in milliseconds. */
    private fun admitQueued(): Double {
        var millis = 0.0
        while (freeCapacity > 0) {
            val stream = queue.poll() ?: break
            running += stream
            stream.start()
            listener.onStarted(stream)
            millis += prefillMillis(stream)
        }
        return millis
    }

    private fun prefillMillis(stream: CompletionStream): Double {
        val chars = cache.insert(stream.adapter, stream.body.prompt)
        val millis = settings.speed.prefillMillisPerThousandChars * chars / CHARS_PER_PREFILL_UNIT
        if (remainingColdRequests == 0) return millis
        remainingColdRequests--
        return millis + settings.speed.coldMillis
    }
}
