package io.apricotslip.standins.store

import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.settings.StoreSettings
import kotlinx.serialization.Serializable
import reactor.core.publisher.Mono
import reactor.core.publisher.MonoSink
import java.time.Duration
import kotlin.math.ceil
import kotlin.random.Random

private const val NANOS_PER_SECOND = 1e9
private const val NANOS_PER_MILLI = 1e6

/** One token, less a tolerance for rounding errors of the refill. */
private const val TOKEN_THRESHOLD = 1 - 1e-9

/** Result of a load. */
internal enum class LoadResult { LOADED, FAILED }

/** Counters and current state of the store in the admin API; [inFlight] includes the [waiting] loads. */
@Serializable
internal data class StoreState(
    val inFlight: Int,
    val waiting: Int,
    val loaded: Long,
    val failed: Long,
    val maxInFlightSeen: Int,
)

/**
 * Weight store whose loads a token bucket limits to the configured rate and burst. Loads beyond the limit wait in a
 * queue and count as in flight. The duration of a load is determined when it starts. Not thread safe; call it on
 * [loop].
 */
internal class WeightStore(private val settings: StoreSettings, private val loop: EventLoop) {
    private val waitingLoads = ArrayDeque<MonoSink<LoadResult>>()
    private val random = Random(settings.seed)
    private var tokens = settings.fullSpeedInFlight.toDouble()
    private var refilledAt = loop.nanos()
    private var inFlight = 0
    private var loaded = 0L
    private var failed = 0L
    private var maxInFlightSeen = 0
    private var isDispatchScheduled = false

    /** How many of the next loads fail, as injected by a test; the configured failure ratio applies after them. */
    var remainingFailures: Long = 0

    /** Performs one load. Cancelling it removes a waiting load from the queue, but does not stop a running one. */
    fun load(): Mono<LoadResult> = Mono.create { sink -> loop.execute { enqueue(sink) } }

    /** Returns the state that the admin API exposes. */
    fun state(): StoreState = StoreState(inFlight, waitingLoads.size, loaded, failed, maxInFlightSeen)

    private fun enqueue(sink: MonoSink<LoadResult>) {
        waitingLoads.addLast(sink)
        inFlight++
        maxInFlightSeen = maxOf(maxInFlightSeen, inFlight)
        sink.onCancel { loop.execute { cancelWaiting(sink) } }
        dispatch()
    }

    private fun cancelWaiting(sink: MonoSink<LoadResult>) {
        if (waitingLoads.remove(sink)) inFlight--
    }

    private fun dispatch() {
        refill()
        while (waitingLoads.isNotEmpty() && tokens >= TOKEN_THRESHOLD) start(waitingLoads.removeFirst())
        if (waitingLoads.isEmpty() || isDispatchScheduled) return
        isDispatchScheduled = true
        val wait = ceil((1 - tokens) / settings.loadsPerSecond * NANOS_PER_SECOND).toLong()
        loop.schedule(Duration.ofNanos(wait)) {
            isDispatchScheduled = false
            dispatch()
        }
    }

    private fun refill() {
        val now = loop.nanos()
        val newTokens = (now - refilledAt) / NANOS_PER_SECOND * settings.loadsPerSecond
        tokens = minOf(settings.fullSpeedInFlight.toDouble(), tokens + newTokens)
        refilledAt = now
    }

    private fun start(sink: MonoSink<LoadResult>) {
        tokens--
        val result = drawResult()
        loop.schedule(loadDuration()) {
            inFlight--
            if (result == LoadResult.LOADED) loaded++ else failed++
            sink.success(result)
        }
    }

    private fun loadDuration(): Duration {
        val slowdown = maxOf(1.0, inFlight.toDouble() / settings.maxInFlight)
        return Duration.ofNanos((settings.loadMillis * slowdown * NANOS_PER_MILLI).toLong())
    }

    private fun drawResult(): LoadResult {
        if (remainingFailures > 0) {
            remainingFailures--
            return LoadResult.FAILED
        }
        return if (random.nextDouble() < settings.failureRatio) LoadResult.FAILED else LoadResult.LOADED
    }
}
