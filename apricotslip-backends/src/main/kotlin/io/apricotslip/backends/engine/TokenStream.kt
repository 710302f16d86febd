package io.apricotslip.backends.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.outcome.RefusalCode
import kotlinx.serialization.SerializationException

/** What one line of a stream means. */
internal sealed class StreamStep {
    /** Passes [event] on. */
    data class Emit(val event: EngineEvent) : StreamStep()

    /** Nothing to pass on. */
    data object Skip : StreamStep()

    /** The stream is not to be trusted further. */
    data class Fail(val code: RefusalCode, val reason: String, val detail: String) : StreamStep()
}

/**
 * Checks one stream of an engine line by line: tokens without gap or repeat from token [from] on, all of [request]
 * and all made by one adapter, which is [adapter] when that is given.
 */
internal class TokenStream(
    private val request: RequestId,
    private var adapter: AdapterVersion?,
    private val from: Int,
) {
    private var next = from

    /** Judges one line. */
    fun accept(line: String): StreamStep {
        if (!line.startsWith(DATA)) return StreamStep.Skip
        val data = line.removePrefix(DATA).trim()
        if (data == DONE) return failed("cut", "[DONE] before the end, at token $next")
        val body = parse(data) ?: return failed("bad_event", "event is not JSON of a stream, at token $next")
        return check(body) ?: read(body)
    }

    private fun parse(data: String): StreamBody? = try {
        EngineJson.format.decodeFromString(StreamBody.serializer(), data)
    } catch (e: SerializationException) {
        null
    }

    private fun check(body: StreamBody): StreamStep.Fail? {
        if (body.id != request.value) return failed("wrong_request", "event of request ${body.id}")
        if (body.error != null) return failed(body.error, "engine lost the stream at token $next: ${body.error}")
        val named = body.adapterVersion() ?: return failed("bad_event", "event names no adapter, at token $next")
        val asked = adapter ?: named.also { adapter = it }
        if (named == asked) return null
        return StreamStep.Fail(RefusalCode.WRONG_ADAPTER, "wrong_adapter", "answer made by $named in place of $asked")
    }

    private fun read(body: StreamBody): StreamStep = when {
        body.offset != null && body.text != null -> token(body.offset, body.text)
        body.total != null && body.finish != null -> end(body.total, body.finish)
        else -> failed("bad_event", "event is neither token nor end, at token $next")
    }

    private fun token(offset: Int, text: String): StreamStep {
        if (offset < next) return StreamStep.Skip
        if (offset > next) return failed("gap", "token $offset after token ${next - 1}")
        next++
        return StreamStep.Emit(EngineEvent.Token(offset, text, checkNotNull(adapter)))
    }

    private fun end(total: Int, finish: String): StreamStep {
        if (total > next) return failed("gap", "end after $next of $total tokens")
        if (total < next) return failed("bad_total", "end after $next tokens says $total")
        return StreamStep.Emit(EngineEvent.End(total, finish, checkNotNull(adapter)))
    }

    private fun failed(reason: String, detail: String) =
        StreamStep.Fail(RefusalCode.BACKEND_SERVER_FAILED, reason, detail)

    private companion object {
        const val DATA = "data:"
        const val DONE = "[DONE]"
    }
}
