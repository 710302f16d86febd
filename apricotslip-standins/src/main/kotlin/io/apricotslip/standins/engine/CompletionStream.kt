package io.apricotslip.standins.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.standins.http.wireJson
import io.apricotslip.standins.loop.EventLoop
import reactor.core.publisher.Flux
import reactor.core.publisher.FluxSink

/** How far a stream is. */
internal enum class StreamPhase { QUEUED, RUNNING, ENDED }

/** Why a stream ended. */
internal enum class EndCause(val label: String) {
    /** The answer is whole. */
    FINISHED("finished"),

    /** It was cancelled by a call. */
    CANCELLED("cancelled"),

    /** Its reader went away and did not come back. */
    DETACHED("detached"),

    /** Its adapter was evicted. */
    EVICTED("adapter_evicted"),

    /** The engine restarted. */
    RESTARTED("restarted"),
}

/**
 * The answer to one request while it is made and kept. It holds no text: each reader makes the tokens again from its
 * own offset as fast as it asks for them, so that a slow reader costs no memory. Not thread safe; every call is made
 * on [loop].
 */
internal class CompletionStream(
    val body: CompletionBody,
    val adapter: AdapterVersion,
    private val loop: EventLoop,
    private val onAbandoned: (CompletionStream) -> Unit,
) {
    private val hash = AnswerText.promptHash(body.prompt)
    private val readers = mutableListOf<Reader>()

    /** Tokens made so far. */
    var produced: Int = 0
        private set

    /** Where the stream is. */
    var phase: StreamPhase = StreamPhase.QUEUED
        private set

    /** Why it ended, or null. */
    var cause: EndCause? = null
        private set

    /** Times that the last reader went away. */
    var abandonments: Int = 0
        private set

    /** Whether anyone reads it. */
    val isRead: Boolean get() = readers.isNotEmpty()

    /** Whether all tokens are made. */
    val isWhole: Boolean get() = produced == body.maxTokens

    /** Moves from the queue into the batch. */
    fun run() {
        phase = StreamPhase.RUNNING
    }

    /** Makes one token. */
    fun produce() {
        produced++
        drainReaders()
    }

    /** Ends the stream. Readers get the rest, then the last event. */
    fun end(cause: EndCause) {
        phase = StreamPhase.ENDED
        this.cause = cause
        drainReaders()
    }

    /** Event data from token [from] to the end. */
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
        if (!wasReading || isRead || phase == StreamPhase.ENDED) return
        abandonments++
        onAbandoned(this)
    }

    private fun drainReaders() {
        readers.toList().forEach(Reader::drain)
    }

    /** What a reader has heard so far. */
    private enum class Told { TOKENS, LAST, ALL }

    private inner class Reader(private val sink: FluxSink<String>, private var offset: Int) {
        private var told = Told.TOKENS

        fun drain() {
            while (offset < produced && canTake()) sink.next(token(offset++))
            if (offset >= produced) tellEnd()
        }

        private fun tellEnd() {
            val cause = cause ?: return
            when (told) {
                Told.TOKENS -> if (canTake()) tellLast(cause)
                Told.LAST -> if (canTake()) tellDone()
                Told.ALL -> Unit
            }
        }

        private fun tellLast(cause: EndCause) {
            val isWhole = cause == EndCause.FINISHED
            told = if (isWhole) Told.LAST else Told.ALL
            sink.next(last(cause))
            if (isWhole) tellEnd() else sink.complete()
        }

        private fun tellDone() {
            told = Told.ALL
            sink.next(DONE)
            sink.complete()
        }

        private fun canTake(): Boolean = !sink.isCancelled && sink.requestedFromDownstream() > 0
    }

    private fun token(offset: Int): String {
        val text = AnswerText.tokenOf(adapter, hash, offset)
        val event = TokenEvent(body.requestId, offset, text, adapter.adapter.value, adapter.version.value)
        return wireJson.encodeToString(TokenEvent.serializer(), event)
    }

    private fun last(cause: EndCause): String {
        if (cause != EndCause.FINISHED) {
            return wireJson.encodeToString(BrokenEvent.serializer(), BrokenEvent(body.requestId, cause.label))
        }
        val event = EndEvent(body.requestId, "stop", produced, adapter.adapter.value, adapter.version.value)
        return wireJson.encodeToString(EndEvent.serializer(), event)
    }

    private companion object {
        const val DONE = "[DONE]"
    }
}
