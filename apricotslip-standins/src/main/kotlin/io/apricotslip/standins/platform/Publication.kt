package io.apricotslip.standins.platform

import io.apricotslip.standins.loop.EventLoop
import reactor.core.publisher.Mono
import reactor.core.publisher.MonoSink
import java.time.Duration

/** A published value and its revision. */
internal data class PublishedValue(val revision: Long, val text: String)

/** Result of a read or a watch. */
internal sealed class ReadResult {
    /** The visible value; for a watch, newer than the given revision. */
    data class Found(val value: PublishedValue) : ReadResult()

    /** No newer revision became visible before the timeout. */
    data object Unchanged : ReadResult()

    /** No value is visible. */
    data object Absent : ReadResult()
}

/**
 * A published value as its readers see it: it trails the newest value by a replication lag and does not advance while
 * stale. Not thread-safe; all calls must be made on [loop].
 */
internal class Publication(private val loop: EventLoop) {
    private class Watch(val after: Long, val sink: MonoSink<ReadResult>)

    private val watches = mutableListOf<Watch>()
    private var replicated: PublishedValue? = null
    private var visible: PublishedValue? = null
    private var isStale = false

    /** The newest value, whether it is visible to readers or not. */
    var newest: PublishedValue? = null
        private set

    /** Publishes [value], which becomes visible to readers after [lag]. */
    fun publish(value: PublishedValue, lag: Duration = Duration.ZERO) {
        newest = value
        if (lag.isZero) onReplicated(value) else loop.schedule(lag) { onReplicated(value) }
    }

    /** Sets whether the service is stale. While stale, readers keep seeing the value that was visible before. */
    fun setStale(stale: Boolean) {
        isStale = stale
        updateVisible()
    }

    /** Returns the visible value. */
    fun read(): ReadResult = visible?.let { ReadResult.Found(it) } ?: ReadResult.Absent

    /** Waits up to [wait] for a visible revision higher than [after]. */
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

    private fun onReplicated(value: PublishedValue) {
        replicated = value
        updateVisible()
    }

    private fun updateVisible() {
        if (isStale) return
        visible = replicated
        val value = visible ?: return
        val satisfied = watches.filter { value.revision > it.after }
        watches.removeAll(satisfied)
        satisfied.forEach { it.sink.success(ReadResult.Found(value)) }
    }
}
