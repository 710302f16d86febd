package io.apricotslip.core.loop

import io.apricotslip.api.time.Ticker
import org.tinylog.kotlin.Logger
import reactor.core.Disposable
import reactor.core.scheduler.Scheduler
import reactor.core.scheduler.Schedulers
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * The single-threaded event loop of a node. All state of the node is read and changed on this thread, so that a check
 * and the send that depends on it run in the same task, with no state change between them.
 */
internal class NodeLoop(private val ticker: Ticker = Ticker.System) : AutoCloseable {
    private val executor =
        ScheduledThreadPoolExecutor(1) { Thread(it, "node-loop").apply { isDaemon = true } }.apply {
            removeOnCancelPolicy = true
            executeExistingDelayedTasksAfterShutdownPolicy = false
        }

    /** The loop as a Reactor scheduler, for use with `publishOn`. */
    val scheduler: Scheduler = Schedulers.fromExecutorService(executor, "node-loop")

    /** Current time of the monotonic clock, in nanoseconds. */
    fun now(): Long = ticker.nanos()

    /**
     * Runs [action] as a separate task; does nothing once the loop is closed. [step] names the action in the log if it
     * fails.
     */
    fun run(step: String, action: () -> Unit) {
        if (!executor.isShutdown) executor.execute { runGuarded(step, action) }
    }

    /** Runs [action] once after [millis] milliseconds; does nothing once the loop is closed. */
    fun after(millis: Long, step: String, action: () -> Unit): Disposable {
        if (executor.isShutdown) return Disposable {}
        return asDisposable(executor.schedule({ runGuarded(step, action) }, millis, TimeUnit.MILLISECONDS))
    }

    /** Runs [action] repeatedly, with [millis] milliseconds between the end of one run and the start of the next. */
    fun every(millis: Long, step: String, action: () -> Unit): Disposable = asDisposable(
        executor.scheduleWithFixedDelay({ runGuarded(step, action) }, millis, millis, TimeUnit.MILLISECONDS),
    )

    override fun close() {
        executor.shutdownNow()
    }

    private fun asDisposable(future: ScheduledFuture<*>): Disposable = Disposable { future.cancel(false) }

    private fun runGuarded(step: String, action: () -> Unit) {
        try {
            action()
        } catch (e: Exception) {
            Logger.error(e, "event=loop_failure step={}", step)
        }
    }
}
