package io.apricotslip.standins.loop

import io.apricotslip.api.time.Ticker
import reactor.core.Disposable
import reactor.core.Disposables
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Runs the tasks of one stand-in sequentially, so that its state needs no locks. While frozen it runs no task and
 * defers those that become due; it runs them in order afterwards.
 */
internal class EventLoop(scheduler: Scheduler, private val ticker: Ticker) {
    private val worker = scheduler.createWorker()
    private val deferredTasks = ArrayDeque<() -> Unit>()
    private var isFrozen = false

    /** Current time of the monotonic clock in nanoseconds. */
    fun nanos(): Long = ticker.nanos()

    /** Enqueues [task]. */
    fun execute(task: () -> Unit) {
        worker.schedule { runOrDefer(task) }
    }

    /** Runs [task] after [delay] unless the returned [Disposable] is disposed before then. */
    fun schedule(delay: Duration, task: () -> Unit): Disposable {
        val timer = Disposables.swap()
        val unlessDisposed = { if (!timer.isDisposed) task() }
        timer.replace(worker.schedule({ runOrDefer(unlessDisposed) }, delay.toNanos(), TimeUnit.NANOSECONDS))
        return timer
    }

    /** Runs [block] on the loop and emits its result or exception. */
    fun <T : Any> call(block: () -> T): Mono<T> = Mono.create { sink ->
        execute {
            runCatching(block).fold(sink::success, sink::error)
        }
    }

    /** Defers all tasks for [time]. Has no effect while the loop is frozen already. */
    fun freeze(time: Duration) {
        if (isFrozen) return
        isFrozen = true
        worker.schedule(::unfreeze, time.toNanos(), TimeUnit.NANOSECONDS)
    }

    private fun unfreeze() {
        isFrozen = false
        while (!isFrozen && deferredTasks.isNotEmpty()) deferredTasks.removeFirst()()
    }

    private fun runOrDefer(task: () -> Unit) {
        if (isFrozen) deferredTasks.addLast(task) else task()
    }
}
