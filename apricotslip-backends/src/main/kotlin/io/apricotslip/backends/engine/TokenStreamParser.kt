package io.apricotslip.backends.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.outcome.RefusalCode
import kotlinx.serialization.SerializationException

/** Result of parsing one line of a stream. */
internal sealed class LineResult {
    /** [event] is passed on to the subscriber. */
    data class Emit(val event: EngineEvent) : LineResult()

    /** The line carries no new event. */
    data object Skip : LineResult()

    /** The stream is invalid from this line on and must fail. */
    data class Fail(val code: RefusalCode, val reason: String, val detail: String) : LineResult()
}

/**
 * Parses and validates one server-sent event stream of an engine, line by line. The tokens must be contiguous from
 * [firstOffset] on, and all must belong to [request] and come from the same adapter, which is [adapter] unless that is
 * null. Repeated tokens are skipped.
 */
internal class TokenStreamParser(
    private val request: RequestId,
    private var adapter: AdapterVersion?,
    private val firstOffset: Int,
) {
    private var nextOffset = firstOffset

    /** Parses one line; lines other than `data:` lines are skipped. */
    fun parseLine(line: String): LineResult {
        if (!line.startsWith(DATA)) return LineResult.Skip
        val data = line.removePrefix(DATA).trim()
        if (data == DONE) return fail("cut", "[DONE] before the end, at token $nextOffset")
        val body = parse(data) ?: return fail("bad_event", "event is not JSON of a stream, at token $nextOffset")
        return validate(body) ?: toResult(body)
    }

    private fun parse(data: String): StreamBody? = try {
        EngineJson.format.decodeFromString(StreamBody.serializer(), data)
    } catch (e: SerializationException) {
        null
    }

    private fun validate(body: StreamBody): LineResult.Fail? {
        if (body.id != request.value) return fail("wrong_request", "event of request ${body.id}")
        if (body.error != null) return fail(body.error, "engine lost the stream at token $nextOffset: ${body.error}")
        val reported = body.adapterVersion() ?: return fail("bad_event", "event names no adapter, at token $nextOffset")
        val expected = adapter ?: reported.also { adapter = it }
        if (reported == expected) return null
        val detail = "answer made by $reported in place of $expected"
        return LineResult.Fail(RefusalCode.WRONG_ADAPTER, "wrong_adapter", detail)
    }

    private fun toResult(body: StreamBody): LineResult = when {
        body.offset != null && body.text != null -> token(body.offset, body.text)
        body.total != null && body.finish != null -> end(body.total, body.finish)
        else -> fail("bad_event", "event is neither token nor end, at token $nextOffset")
    }

    private fun token(offset: Int, text: String): LineResult {
        if (offset < nextOffset) return LineResult.Skip
        if (offset > nextOffset) return fail("gap", "token $offset after token ${nextOffset - 1}")
        nextOffset++
        return LineResult.Emit(EngineEvent.Token(offset, text, checkNotNull(adapter)))
    }

    private fun end(total: Int, finish: String): LineResult {
        if (total > nextOffset) return fail("gap", "end after $nextOffset of $total tokens")
        if (total < nextOffset) return fail("bad_total", "end after $nextOffset tokens says $total")
        return LineResult.Emit(EngineEvent.End(total, finish, checkNotNull(adapter)))
    }

    private fun fail(reason: String, detail: String) =
        LineResult.Fail(RefusalCode.BACKEND_SERVER_FAILED, reason, detail)

    private companion object {
        const val DATA = "data:"
        const val DONE = "[DONE]"
    }
}
