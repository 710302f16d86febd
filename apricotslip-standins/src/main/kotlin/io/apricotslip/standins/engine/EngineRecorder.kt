package io.apricotslip.standins.engine

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.standins.history.History

/** Records the events of the engine [id] in [history] and counts them. */
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

    /** Records that [stream] started to run. */
    fun recordStart(stream: CompletionStream) {
        started++
        record(EventKind.RUN, stream.adapter, request = stream.body.requestId)
    }

    /** Records that [stream] ended. Call it before the phase of [stream] changes. */
    fun recordEnd(stream: CompletionStream, cause: EndCause) {
        if (cause == EndCause.FINISHED) finished++ else broken++
        val event = newEvent(EventKind.STREAM_END, stream.adapter)
        val detail = if (stream.phase == StreamPhase.QUEUED) "${cause.label}_in_queue" else cause.label
        history.record(event.copy(request = stream.body.requestId, offset = stream.generatedTokens, detail = detail))
    }

    /** Records that [adapter] became resident. */
    fun recordLoad(adapter: AdapterVersion) {
        loads++
        record(EventKind.LOAD, adapter)
    }

    /** Records that a load of [adapter] failed. */
    fun recordLoadFailure(adapter: AdapterVersion) {
        failedLoads++
        record(EventKind.LOAD, adapter, detail = "failed")
    }

    /**
     * Records the eviction of [adapter]. It is a violation if the adapter [isInUse], that is, has active requests.
     * [isEngineInitiated] tells an eviction by the engine itself from an ordered one.
     */
    fun recordEviction(adapter: AdapterVersion, isInUse: Boolean, isEngineInitiated: Boolean) {
        evictions++
        if (isEngineInitiated) ownEvictions++
        if (isInUse) evictionsInUse++
        record(EventKind.EVICT, adapter, detail = if (isInUse) "in_use" else null)
    }

    private fun record(kind: EventKind, adapter: AdapterVersion, request: String? = null, detail: String? = null) {
        history.record(newEvent(kind, adapter).copy(request = request, detail = detail))
    }

    private fun newEvent(kind: EventKind, adapter: AdapterVersion): HistoryEvent = HistoryEvent(
        at = System.nanoTime(),
        process = id,
        kind = kind,
        server = id,
        adapter = adapter.adapter.value,
        version = adapter.version.value,
    )
}
