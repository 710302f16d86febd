package io.apricotslip.serving.member

/**
 * Detects that this process did not run for longer than [limitMillis]: it was stopped, or its VM was suspended. The
 * monotonic clock does not count the time of a suspended VM, so the time of day is compared with it. A step of the time
 * of day looks like a pause as well.
 */
public class PauseDetector(private val limitMillis: Long) {
    private var lastTickAt: Long? = null
    private var lastWallMillis = 0L

    /** Records that the process runs at [now] on the monotonic clock; returns whether it was paused before. */
    public fun onTick(now: Long, wallMillis: Long): Boolean {
        val before = lastTickAt
        val wallElapsed = wallMillis - lastWallMillis
        lastTickAt = now
        lastWallMillis = wallMillis
        return before != null && maxOf(now - before, wallElapsed) > limitMillis
    }
}
