package io.apricotslip.gateway.observe

import org.tinylog.kotlin.Logger

/** Writes one line for each decision, at most [linesPerSecond] on average; what was left out is counted. */
public class DecisionLog(private val now: () -> Long, private val linesPerSecond: Int = LINES_PER_SECOND) {
    private var windowStart = 0L
    private var lines = 0
    private var dropped = 0L

    /** Writes [line] unless the limit is reached. */
    public fun write(line: () -> String) {
        val at = now()
        if (at - windowStart >= WINDOW_MILLIS) turn(at)
        if (lines >= linesPerSecond) {
            dropped++
            return
        }
        lines++
        Logger.info(line())
    }

    private fun turn(at: Long) {
        if (dropped > 0) Logger.warn("event=log_lines_dropped count=$dropped")
        windowStart = at
        lines = 0
        dropped = 0
    }

    private companion object {
        const val WINDOW_MILLIS = 1_000L

        /** About two lines for each request at the share of one node in the deployments' busiest second. */
        const val LINES_PER_SECOND = 150
    }
}
