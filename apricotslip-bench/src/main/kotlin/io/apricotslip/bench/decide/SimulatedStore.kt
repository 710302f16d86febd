package io.apricotslip.bench.decide

import io.apricotslip.api.manifest.StoreEntry
import kotlin.math.max
import kotlin.math.min
import kotlin.random.Random

/**
 * Simulates the timing of the weight store: loads start at the configured rate, others are queued; loads slow down
 * beyond the limit in flight.
 */
internal class SimulatedStore(private val loop: EventLoop, private val store: StoreEntry, private val random: Random) {
    private val queue = ArrayDeque<(Boolean) -> Unit>()
    private var runningLoads = 0
    private var tokens = store.fullSpeedInFlight.toDouble()
    private var refilledAt = 0L
    private var scheduledWakeAt = Long.MAX_VALUE

    /** Fraction of the loads that fail, from 0 to 1. */
    var failureRatio: Double = 0.0
    var startedLoads: Long = 0
        private set
    var peakInFlight: Int = 0
        private set
    val inFlight: Int get() = queue.size + runningLoads

    fun load(onDone: (Boolean) -> Unit) {
        queue += onDone
        peakInFlight = max(peakInFlight, inFlight)
        startQueuedLoads()
    }

    private fun startQueuedLoads() {
        refill()
        while (queue.isNotEmpty() && tokens >= 1 - ROUNDING_TOLERANCE) {
            tokens -= 1
            start(queue.removeFirst())
        }
        if (queue.isNotEmpty()) {
            scheduleWake(loop.now + ((1 - tokens) / store.loadsPerSecond * NANOS_PER_SECOND).toLong() + 1)
        }
    }

    private fun start(onDone: (Boolean) -> Unit) {
        startedLoads += 1
        val slowdown = max(1.0, (inFlight + 1.0) / store.maxInFlight)
        runningLoads += 1
        val fails = random.nextDouble() < failureRatio
        loop.scheduleAfter((LOAD_NANOS * slowdown).toLong()) {
            runningLoads -= 1
            onDone(!fails)
        }
    }

    private fun scheduleWake(time: Long) {
        if (scheduledWakeAt != Long.MAX_VALUE) return
        scheduledWakeAt = time
        loop.scheduleAt(time) {
            scheduledWakeAt = Long.MAX_VALUE
            startQueuedLoads()
        }
    }

    private fun refill() {
        val newTokens = (loop.now - refilledAt) * store.loadsPerSecond / NANOS_PER_SECOND
        tokens = min(store.fullSpeedInFlight.toDouble(), tokens + newTokens)
        refilledAt = loop.now
    }

    companion object {
        const val LOAD_NANOS: Long = 250 * NANOS_PER_MILLI
        private const val ROUNDING_TOLERANCE = 1e-9
    }
}
