package io.apricotslip.standins.engine

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.standins.history.History

/** Writes what happens on the engine [id] to [history] and counts it. */
internal class EngineRecorder(private val id: String, private val history: History) {
    var started: Long = 0L
        private set
    var finished: Long = 0L
        private set
    var broken: Long = 0L
        private set
    var loads: Long = 0L
        private set
    var failedLoads: Long = 0L
        private set
    var evictions: Long = 0L
        private set
    var ownEvictions: Long = 0L
        private set
    var evictionsInUse: Long = 0L
        private set

    /** [stream] began to run. */
    fun run(stream: CompletionStream) {
        started++
        record(EventKind.RUN, stream.adapter, request = stream.body.requestId)
    }

    /** [stream] ended. */
    fun streamEnd(stream: CompletionStream, cause: EndCause) {
        if (cause == EndCause.FINISHED) finished++ else broken++
        val event = event(EventKind.STREAM_END, stream.adapter)
        val detail = if (stream.phase == StreamPhase.QUEUED) "${cause.label}_in_queue" else cause.label
        history.record(event.copy(request = stream.body.requestId, offset = stream.produced, detail = detail))
    }

    /** [adapter] became resident. */
    fun load(adapter: AdapterVersion) {
        loads++
        record(EventKind.LOAD, adapter)
    }

    /** A load of [adapter] failed. */
    fun loadFailed(adapter: AdapterVersion) {
        failedLoads++
        record(EventKind.LOAD, adapter, detail = "failed")
    }

    /** [adapter] was evicted, [isOwn] by the engine itself; with requests on it that is a violation. */
    fun evict(adapter: AdapterVersion, isInUse: Boolean, isOwn: Boolean) {
        evictions++
        if (isOwn) ownEvictions++
        if (isInUse) evictionsInUse++
        record(EventKind.EVICT, adapter, detail = if (isInUse) "in_use" else null)
    }

    private fun record(kind: EventKind, adapter: AdapterVersion, request: String? = null, detail: String? = null) {
        history.record(event(kind, adapter).copy(request = request, detail = detail))
    }

    private fun event(kind: EventKind, adapter: AdapterVersion): HistoryEvent = HistoryEvent(
        at = System.nanoTime(),
        process = id,
        kind = kind,
        server = id,
        adapter = adapter.adapter.value,
        version = adapter.version.value,
    )
}
