package io.apricotslip.standins.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.standins.http.wireJson
import io.apricotslip.standins.loop.EventLoop
import reactor.core.publisher.Flux
import reactor.core.publisher.FluxSink

/** Lifecycle phase of a stream. */
internal enum class StreamPhase { QUEUED, RUNNING, ENDED }

/** Why a stream ended. */
internal enum class EndCause(val label: String) {
    /** The answer is complete. */
    FINISHED("finished"),

    /** A client cancelled the request. */
    CANCELLED("cancelled"),

    /** The last reader disconnected and none reconnected in time. */
    DETACHED("detached"),

    /** The adapter was evicted. */
    EVICTED("adapter_evicted"),

    /** The engine restarted. */
    RESTARTED("restarted"),
}

/**
 * The answer to one request, while it is generated and retained. It stores no text: each reader regenerates the
 * tokens from its own offset at the rate of its demand, so that a slow reader costs no memory. Not thread safe; call
 * it on [loop].
 */
internal class CompletionStream(
    val body: CompletionBody,
    val adapter: AdapterVersion,
    private val loop: EventLoop,
    private val onDetached: (CompletionStream) -> Unit,
) {
    private val promptHash = AnswerText.promptHash(body.prompt)
    private val readers = mutableListOf<Reader>()

    /** Number of tokens generated so far. */
    var generatedTokens: Int = 0
        private set

    /** Current phase. */
    var phase: StreamPhase = StreamPhase.QUEUED
        private set

    /** Why the stream ended, or null if it has not ended. */
    var endCause: EndCause? = null
        private set

    /** How often the stream lost its last reader before it ended. */
    var detachCount: Int = 0
        private set

    /** Whether a reader is attached. */
    val hasReaders: Boolean get() = readers.isNotEmpty()

    /** Whether all tokens are generated. */
    val isComplete: Boolean get() = generatedTokens == body.maxTokens

    /** Marks the stream as moved from the queue into the batch. */
    fun start() {
        phase = StreamPhase.RUNNING
    }

    /** Generates one token. */
    fun generateToken() {
        generatedTokens++
        drainReaders()
    }

    /** Ends the stream. Readers receive the remaining tokens, then the final event. */
    fun end(cause: EndCause) {
        phase = StreamPhase.ENDED
        endCause = cause
        drainReaders()
    }

    /** Returns the event data from token offset [from] to the end. */
    fun read(from: Int): Flux<String> = Flux.create { sink ->
        val reader = Reader(sink, from)
        sink.onRequest { loop.execute(reader::drain) }
        sink.onDispose { loop.execute { detach(reader) } }
        loop.execute { attach(reader) }
    }

    private fun attach(reader: Reader) {
        readers += reader
        reader.drain()
    }

    private fun detach(reader: Reader) {
        val wasReading = readers.remove(reader)
        if (!wasReading || hasReaders || phase == StreamPhase.ENDED) return
        detachCount++
        onDetached(this)
    }

    private fun drainReaders() {
        readers.toList().forEach(Reader::drain)
    }

    /** How much of the stream a reader has received. */
    private enum class Delivery { SENDING_TOKENS, END_EVENT_SENT, COMPLETED }

    private inner class Reader(private val sink: FluxSink<String>, private var offset: Int) {
        private var delivery = Delivery.SENDING_TOKENS

        fun drain() {
            while (offset < generatedTokens && hasDemand()) sink.next(tokenEvent(offset++))
            if (offset >= generatedTokens) sendEnd()
        }

        private fun sendEnd() {
            val cause = endCause ?: return
            when (delivery) {
                Delivery.SENDING_TOKENS -> if (hasDemand()) sendFinalEvent(cause)
                Delivery.END_EVENT_SENT -> if (hasDemand()) sendDoneMarker()
                Delivery.COMPLETED -> Unit
            }
        }

        private fun sendFinalEvent(cause: EndCause) {
            val isFinished = cause == EndCause.FINISHED
            delivery = if (isFinished) Delivery.END_EVENT_SENT else Delivery.COMPLETED
            sink.next(finalEvent(cause))
            if (isFinished) sendEnd() else sink.complete()
        }

        private fun sendDoneMarker() {
            delivery = Delivery.COMPLETED
            sink.next(DONE_MARKER)
            sink.complete()
        }

        private fun hasDemand(): Boolean = !sink.isCancelled && sink.requestedFromDownstream() > 0
    }

    private fun tokenEvent(offset: Int): String {
        val text = AnswerText.tokenOf(adapter, promptHash, offset)
        val event = TokenEvent(body.requestId, offset, text, adapter.adapter.value, adapter.version.value)
        return wireJson.encodeToString(TokenEvent.serializer(), event)
    }

    private fun finalEvent(cause: EndCause): String {
        if (cause != EndCause.FINISHED) {
            return wireJson.encodeToString(ErrorEvent.serializer(), ErrorEvent(body.requestId, cause.label))
        }
        val event = EndEvent(body.requestId, "stop", generatedTokens, adapter.adapter.value, adapter.version.value)
        return wireJson.encodeToString(EndEvent.serializer(), event)
    }

    private companion object {
        const val DONE_MARKER = "[DONE]"
    }
}
