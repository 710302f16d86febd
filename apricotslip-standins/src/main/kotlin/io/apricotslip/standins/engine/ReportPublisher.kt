package io.apricotslip.standins.engine

import io.apricotslip.standins.loop.EventLoop
import reactor.core.publisher.Mono
import reactor.core.publisher.MonoSink
import java.time.Duration

/** Publishes each report [lag] after it was recorded. Not thread safe; call it on [loop]. */
internal class ReportPublisher(private val lag: Duration, private val loop: EventLoop, initial: Report) {
    private class Waiter(val sequence: Long, val sink: MonoSink<Report>)

    private val waiters = mutableListOf<Waiter>()
    private var generation = 0

    /** The report that readers see. */
    var published: Report = initial
        private set

    /** Records a new [report], which is published after the lag. */
    fun record(report: Report) {
        if (lag.isZero) return publish(report)
        val recordedGeneration = generation
        loop.schedule(lag) { if (recordedGeneration == generation) publish(report) }
    }

    /** Drops the reports that are not published yet and publishes [initial] at once. */
    fun restart(initial: Report) {
        generation++
        publish(initial)
    }

    /** Emits the published report as soon as its sequence is at least [sequence], at the latest after [timeout]. */
    fun await(sequence: Long, timeout: Duration): Mono<Report> = Mono.create { sink ->
        loop.execute { addWaiter(Waiter(sequence, sink), timeout) }
    }

    private fun addWaiter(waiter: Waiter, timeout: Duration) {
        if (published.sequence >= waiter.sequence) return waiter.sink.success(published)
        waiters += waiter
        val timer = loop.schedule(timeout) { waiter.sink.success(published) }
        waiter.sink.onDispose {
            timer.dispose()
            loop.execute { waiters.remove(waiter) }
        }
    }

    private fun publish(report: Report) {
        published = report
        val satisfied = waiters.filter { report.sequence >= it.sequence }
        waiters.removeAll(satisfied)
        satisfied.forEach { it.sink.success(report) }
    }
}
