package io.apricotslip.wire.link

import io.apricotslip.api.time.Ticker
import java.util.concurrent.TimeUnit

/** Tells whether a peer has been silent for too long. Time in which the node itself did not read does not count. */
internal class Silence(private val ticker: Ticker, limitMillis: Long) {
    private val limit = TimeUnit.MILLISECONDS.toNanos(limitMillis)

    @Volatile
    private var last = ticker.nanos()

    @Volatile
    private var paused = false

    /** Bytes arrived. */
    fun heard() {
        last = ticker.nanos()
    }

    /** The node stops reading until [resume]. */
    fun pause() {
        paused = true
    }

    /** The node reads again; the peer has the whole limit from now on. */
    fun resume() {
        last = ticker.nanos()
        paused = false
    }

    /** Whether nothing arrived within the limit. */
    fun exceeded(): Boolean = !paused && ticker.nanos() - last > limit
}
