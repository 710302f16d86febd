package io.apricotslip.gateway.observe

import org.tinylog.kotlin.Logger

/** Logs one line for each decision, at most [linesPerSecond] on average, and logs how many lines were dropped. */
public class DecisionLog(private val now: () -> Long, private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND) {
    private var windowStart = 0L
    private var lineCount = 0
    private var droppedCount = 0L

    /** Logs [line] unless the limit is reached. */
    public fun write(line: () -> String) {
        val now = now()
        if (now - windowStart >= WINDOW_MILLIS) startWindow(now)
        if (lineCount >= linesPerSecond) {
            droppedCount++
            return
        }
        lineCount++
        Logger.info(line())
    }

    private fun startWindow(now: Long) {
        if (droppedCount > 0) Logger.warn("event=log_lines_dropped count=$droppedCount")
        windowStart = now
        lineCount = 0
        droppedCount = 0
    }

    private companion object {
        const val WINDOW_MILLIS = 1_000L

        /** About two lines for each request of one node's share in the busiest second of the deployment profiles. */
        const val DEFAULT_LINES_PER_SECOND = 150
    }
}
