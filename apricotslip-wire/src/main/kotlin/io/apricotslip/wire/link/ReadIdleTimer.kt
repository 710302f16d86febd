package io.apricotslip.wire.link

import io.apricotslip.api.time.Ticker
import java.util.concurrent.TimeUnit
import kotlin.math.ceil

/**
 * Detects that nothing was read from a peer for longer than [limitMillis]. Time in which this node itself does not read
 * does not count.
 */
internal class ReadIdleTimer(private val ticker: Ticker, limitMillis: Long) {
    private val limitNanos = TimeUnit.MILLISECONDS.toNanos(limitMillis)

    @Volatile
    private var lastReadAtNanos = ticker.nanos()

    @Volatile
    private var paused = false

    /** Restarts the timer; called when bytes arrive. */
    fun recordRead() {
        lastReadAtNanos = ticker.nanos()
    }

    /** Stops the timer while this node does not read, until [resume]. */
    fun pause() {
        paused = true
    }

    /** Restarts the timer with the full limit when this node reads again. */
    fun resume() {
        lastReadAtNanos = ticker.nanos()
        paused = false
    }

    /** Whether nothing arrived within the limit; never true while paused. */
    fun isExpired(): Boolean = remainingMillis() <= 0

    /** Time until the limit is reached if nothing arrives; the whole limit while paused. */
    fun remainingMillis(): Long {
        val idleNanos = if (paused) 0 else ticker.nanos() - lastReadAtNanos
        return ceil((limitNanos - idleNanos).toDouble() / NANOS_PER_MILLI).toLong()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000
    }
}
