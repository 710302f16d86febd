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
private const val WHOLE_TOKEN = 1 - 1e-9

/** Result of a load. */
internal enum class LoadResult { LOADED, FAILED }

/** What the store did so far and does now. */
@Serializable
internal data class StoreState(
    val inFlight: Int,
    val waiting: Int,
    val loaded: Long,
    val failed: Long,
    val maxInFlightSeen: Int,
)

/**
 * Loads start at the rate of the settings, with a burst; the others wait in line and count as in flight. How long a
 * load takes is settled when it starts. Not thread safe; every call is made on [loop].
 */
internal class WeightStore(private val settings: StoreSettings, private val loop: EventLoop) {
    private val line = ArrayDeque<MonoSink<LoadResult>>()
    private val random = Random(settings.seed)
    private var tokens = settings.fullSpeedInFlight.toDouble()
    private var refilledAt = loop.nanos()
    private var inFlight = 0
    private var loaded = 0L
    private var failed = 0L
    private var maxInFlightSeen = 0
    private var isPumpScheduled = false

    /** Loads that shall fail from now on, before the ratio of the settings counts. */
    var failuresToCome: Long = 0

    /** Loads once; cancelling it leaves the line, but does not stop a load that runs. */
    fun load(): Mono<LoadResult> = Mono.create { sink -> loop.execute { enqueue(sink) } }

    /** What is read back. */
    fun state(): StoreState = StoreState(inFlight, line.size, loaded, failed, maxInFlightSeen)

    private fun enqueue(sink: MonoSink<LoadResult>) {
        line.addLast(sink)
        inFlight++
        maxInFlightSeen = maxOf(maxInFlightSeen, inFlight)
        sink.onCancel { loop.execute { leave(sink) } }
        pump()
    }

    private fun leave(sink: MonoSink<LoadResult>) {
        if (line.remove(sink)) inFlight--
    }

    private fun pump() {
        refill()
        while (line.isNotEmpty() && tokens >= WHOLE_TOKEN) start(line.removeFirst())
        if (line.isEmpty() || isPumpScheduled) return
        isPumpScheduled = true
        val wait = ceil((1 - tokens) / settings.loadsPerSecond * NANOS_PER_SECOND).toLong()
        loop.schedule(Duration.ofNanos(wait)) {
            isPumpScheduled = false
            pump()
        }
    }

    private fun refill() {
        val now = loop.nanos()
        val earned = (now - refilledAt) / NANOS_PER_SECOND * settings.loadsPerSecond
        tokens = minOf(settings.fullSpeedInFlight.toDouble(), tokens + earned)
        refilledAt = now
    }

    private fun start(sink: MonoSink<LoadResult>) {
        tokens--
        val result = draw()
        loop.schedule(duration()) {
            inFlight--
            if (result == LoadResult.LOADED) loaded++ else failed++
            sink.success(result)
        }
    }

    private fun duration(): Duration {
        val slope = maxOf(1.0, inFlight.toDouble() / settings.maxInFlight)
        return Duration.ofNanos((settings.loadMillis * slope * NANOS_PER_MILLI).toLong())
    }

    private fun draw(): LoadResult {
        if (failuresToCome > 0) {
            failuresToCome--
            return LoadResult.FAILED
        }
        return if (random.nextDouble() < settings.failureRatio) LoadResult.FAILED else LoadResult.LOADED
    }
}
