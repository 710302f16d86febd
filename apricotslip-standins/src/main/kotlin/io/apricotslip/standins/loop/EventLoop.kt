package io.apricotslip.standins.loop

import io.apricotslip.api.time.Ticker
import reactor.core.Disposable
import reactor.core.Disposables
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Runs the tasks of one stand-in one after another, so that its state needs no locks. While it is frozen it runs
 * nothing and keeps what comes, in order, for later.
 */
internal class EventLoop(scheduler: Scheduler, private val ticker: Ticker) {
    private val worker = scheduler.createWorker()
    private val held = ArrayDeque<() -> Unit>()
    private var frozen = false

    /** Nanoseconds of the monotonic clock. */
    fun nanos(): Long = ticker.nanos()

    /** Runs [task] soon. */
    fun execute(task: () -> Unit) {
        worker.schedule { runOrHold(task) }
    }

    /** Runs [task] after [delay], unless the result is disposed of before. */
    fun schedule(delay: Duration, task: () -> Unit): Disposable {
        val timer = Disposables.swap()
        val unlessDisposed = { if (!timer.isDisposed) task() }
        timer.replace(worker.schedule({ runOrHold(unlessDisposed) }, delay.toNanos(), TimeUnit.NANOSECONDS))
        return timer
    }

    /** Runs [block] on the loop and gives its result. */
    fun <T : Any> call(block: () -> T): Mono<T> = Mono.create { sink ->
        execute {
            runCatching(block).fold(sink::success, sink::error)
        }
    }

    /** Runs nothing for [time]. */
    fun freeze(time: Duration) {
        if (frozen) return
        frozen = true
        worker.schedule(::thaw, time.toNanos(), TimeUnit.NANOSECONDS)
    }

    private fun thaw() {
        frozen = false
        while (!frozen && held.isNotEmpty()) held.removeFirst()()
    }

    private fun runOrHold(task: () -> Unit) {
        if (frozen) held.addLast(task) else task()
    }
}
