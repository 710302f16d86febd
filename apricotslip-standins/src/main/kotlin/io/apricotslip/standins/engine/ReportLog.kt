package io.apricotslip.standins.engine

import io.apricotslip.standins.loop.EventLoop
import reactor.core.publisher.Mono
import reactor.core.publisher.MonoSink
import java.time.Duration

/** Keeps the reports of the last while and publishes each after the lag. Not thread safe; call it on [loop]. */
internal class ReportLog(private val lag: Duration, private val loop: EventLoop, first: Report) {
    private class Waiter(val sequence: Long, val sink: MonoSink<Report>)

    private val waiters = mutableListOf<Waiter>()
    private var generation = 0

    /** What readers see. */
    var published: Report = first
        private set

    /** Records the [report] of a change. */
    fun record(report: Report) {
        if (lag.isZero) return publish(report)
        val recordedIn = generation
        loop.schedule(lag) { if (recordedIn == generation) publish(report) }
    }

    /** Forgets what is not published yet and starts anew with [first]. */
    fun restart(first: Report) {
        generation++
        publish(first)
    }

    /** The published report once its sequence is at least [sequence], or the published one after [wait]. */
    fun await(sequence: Long, wait: Duration): Mono<Report> = Mono.create { sink ->
        loop.execute { addWaiter(Waiter(sequence, sink), wait) }
    }

    private fun addWaiter(waiter: Waiter, wait: Duration) {
        if (published.sequence >= waiter.sequence) return waiter.sink.success(published)
        waiters += waiter
        val timer = loop.schedule(wait) { waiter.sink.success(published) }
        waiter.sink.onDispose {
            timer.dispose()
            loop.execute { waiters.remove(waiter) }
        }
    }

    private fun publish(report: Report) {
        published = report
        val due = waiters.filter { report.sequence >= it.sequence }
        waiters.removeAll(due)
        due.forEach { it.sink.success(report) }
    }
}
