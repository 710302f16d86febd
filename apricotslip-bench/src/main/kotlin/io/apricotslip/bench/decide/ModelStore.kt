package io.apricotslip.bench.decide

import io.apricotslip.api.manifest.StoreEntry
import kotlin.math.max
import kotlin.math.min
import kotlin.random.Random

/** Timing of the weight store: starts at the stated rate, the rest in line; slower beyond its limit in flight. */
internal class ModelStore(private val loop: EventLoop, private val store: StoreEntry, private val random: Random) {
    private val line = ArrayDeque<(Boolean) -> Unit>()
    private var running = 0
    private var tokens = store.fullSpeedInFlight.toDouble()
    private var countedAt = 0L
    private var timerAt = Long.MAX_VALUE

    /** Part of the loads that fail, from 0 to 1. */
    var failing: Double = 0.0
    var started: Long = 0
        private set
    var mostInFlight: Int = 0
        private set
    val inFlight: Int get() = line.size + running

    fun load(done: (Boolean) -> Unit) {
        line += done
        mostInFlight = max(mostInFlight, inFlight)
        startWaiting()
    }

    private fun startWaiting() {
        refill()
        while (line.isNotEmpty() && tokens >= 1 - ROUNDING) {
            tokens -= 1
            start(line.removeFirst())
        }
        if (line.isNotEmpty()) wakeAt(loop.now + ((1 - tokens) / store.loadsPerSecond * NANOS_PER_SECOND).toLong() + 1)
    }

    private fun start(done: (Boolean) -> Unit) {
        started += 1
        val slowdown = max(1.0, (inFlight + 1.0) / store.maxInFlight)
        running += 1
        val fails = random.nextDouble() < failing
        loop.after((LOAD_NANOS * slowdown).toLong()) {
            running -= 1
            done(!fails)
        }
    }

    private fun wakeAt(time: Long) {
        if (timerAt != Long.MAX_VALUE) return
        timerAt = time
        loop.at(time) {
            timerAt = Long.MAX_VALUE
            startWaiting()
        }
    }

    private fun refill() {
        val made = (loop.now - countedAt) * store.loadsPerSecond / NANOS_PER_SECOND
        tokens = min(store.fullSpeedInFlight.toDouble(), tokens + made)
        countedAt = loop.now
    }

    companion object {
        const val LOAD_NANOS: Long = 250 * NANOS_PER_MILLI
        private const val ROUNDING = 1e-9
    }
}
