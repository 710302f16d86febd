package io.apricotslip.standins.platform

import io.apricotslip.standins.loop.EventLoop
import reactor.core.publisher.Mono
import reactor.core.publisher.MonoSink
import java.time.Duration

/** A value that was published under a revision. */
internal data class PublishedValue(val revision: Long, val text: String)

/** Answer to a read or a watch. */
internal sealed class ReadResult {
    /** There is a value, newer than asked for. */
    data class Found(val value: PublishedValue) : ReadResult()

    /** Nothing newer came in time. */
    data object Unchanged : ReadResult()

    /** There is no value. */
    data object Absent : ReadResult()
}

/**
 * A value as its readers see it: behind the newest one by a lag, and held back while stale. Not thread safe; every
 * call is made on [loop].
 */
internal class Publication(private val loop: EventLoop) {
    private class Watch(val after: Long, val sink: MonoSink<ReadResult>)

    private val watches = mutableListOf<Watch>()
    private var arrived: PublishedValue? = null
    private var visible: PublishedValue? = null
    private var isStale = false

    /** The newest value, visible or not. */
    var newest: PublishedValue? = null
        private set

    /** Publishes [value]; readers see it after [lag]. */
    fun publish(value: PublishedValue, lag: Duration = Duration.ZERO) {
        newest = value
        if (lag.isZero) arrive(value) else loop.schedule(lag) { arrive(value) }
    }

    /** While stale, readers go on to see what they saw before. */
    fun setStale(stale: Boolean) {
        isStale = stale
        show()
    }

    /** What readers see. */
    fun read(): ReadResult = visible?.let { ReadResult.Found(it) } ?: ReadResult.Absent

    /** Waits up to [wait] for a revision higher than [after]. */
    fun watch(after: Long, wait: Duration): Mono<ReadResult> = Mono.create { sink ->
        loop.execute { addWatch(Watch(after, sink), wait) }
    }

    private fun addWatch(watch: Watch, wait: Duration) {
        val value = visible
        if (value != null && value.revision > watch.after) return watch.sink.success(ReadResult.Found(value))
        watches += watch
        val timer = loop.schedule(wait) { expire(watch) }
        watch.sink.onDispose {
            timer.dispose()
            loop.execute { watches.remove(watch) }
        }
    }

    private fun expire(watch: Watch) {
        watch.sink.success(if (visible == null) ReadResult.Absent else ReadResult.Unchanged)
    }

    private fun arrive(value: PublishedValue) {
        arrived = value
        show()
    }

    private fun show() {
        if (isStale) return
        visible = arrived
        val value = visible ?: return
        val due = watches.filter { value.revision > it.after }
        watches.removeAll(due)
        due.forEach { it.sink.success(ReadResult.Found(value)) }
    }
}
