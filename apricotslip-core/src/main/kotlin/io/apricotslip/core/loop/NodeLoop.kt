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
 * The single event loop of a node. All state of the node is read and changed here, so that a check and the send that
 * rests on it happen in one turn.
 */
internal class NodeLoop(private val ticker: Ticker = Ticker.System) : AutoCloseable {
    private val executor =
        ScheduledThreadPoolExecutor(1) { Thread(it, "node-loop").apply { isDaemon = true } }.apply {
            removeOnCancelPolicy = true
            executeExistingDelayedTasksAfterShutdownPolicy = false
        }

    /** The loop as a Reactor scheduler, for `publishOn`. */
    val scheduler: Scheduler = Schedulers.fromExecutorService(executor, "node-loop")

    /** Nanoseconds of the monotonic clock. */
    fun now(): Long = ticker.nanos()

    /** Runs [action] in a turn of its own. */
    fun run(step: String, action: () -> Unit) {
        if (!executor.isShutdown) executor.execute { guarded(step, action) }
    }

    /** Runs [action] once, [millis] from now. */
    fun after(millis: Long, step: String, action: () -> Unit): Disposable {
        if (executor.isShutdown) return Disposable {}
        return handle(executor.schedule({ guarded(step, action) }, millis, TimeUnit.MILLISECONDS))
    }

    /** Runs [action] every [millis]. */
    fun every(millis: Long, step: String, action: () -> Unit): Disposable =
        handle(executor.scheduleWithFixedDelay({ guarded(step, action) }, millis, millis, TimeUnit.MILLISECONDS))

    override fun close() {
        executor.shutdownNow()
    }

    private fun handle(future: ScheduledFuture<*>): Disposable = Disposable { future.cancel(false) }

    private fun guarded(step: String, action: () -> Unit) {
        try {
            action()
        } catch (e: Exception) {
            Logger.error(e, "event=loop_failure step={}", step)
        }
    }
}
