package io.apricotslip.e2e.caller

import io.apricotslip.testutils.history.CallerRecorder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Parses the server-sent events of one answer and records them; [isEnded] once it is completed or refused. */
internal class StreamReader(private val request: String, private val recorder: CallerRecorder) {
    private val buffer = StringBuilder()
    private val text = StringBuilder()
    private var chunkCount = 0
    private var isFinished = false

    /** Headers of the response, recorded when the answer completes. */
    var headers: AnswerHeaders = AnswerHeaders(null, null)

    @Volatile
    var isEnded: Boolean = false
        private set

    /** Handles the next chunk of the body, which may hold several events or part of one. */
    fun onBody(chunk: String) {
        buffer.append(chunk)
        while (true) {
            val end = buffer.indexOf(EVENT_SEPARATOR)
            if (end < 0) return
            onEvent(buffer.substring(0, end).removePrefix(DATA_PREFIX))
            buffer.delete(0, end + EVENT_SEPARATOR.length)
        }
    }

    /** Records a refusal if the body ended, or the connection failed with [error], before the answer did. */
    fun onEnd(error: Throwable? = null) {
        if (!isEnded) {
            recordRefusal("unknown", if (error is java.util.concurrent.TimeoutException) "hang" else "connection")
        }
    }

    /** Records the refusal described by [body], a JSON error response. */
    fun onRefusal(body: String) {
        val error = (Json.parseToJsonElement(body) as JsonObject).getValue("error").jsonObject
        recordRefusal(error.text("outcome"), error.text("code"))
    }

    private fun onEvent(data: String) {
        when {
            data == DONE_EVENT && isFinished -> recordCompletion()
            data == DONE_EVENT -> recordRefusal("unknown", "done_without_finish")
            "\"error\"" in data -> onRefusal(data)
            else -> onToken(Json.parseToJsonElement(data).jsonObject)
        }
    }

    private fun onToken(event: JsonObject) {
        val choice = event.getValue("choices").jsonArray.first().jsonObject
        val token = choice["text"]?.jsonPrimitive?.contentOrNull.orEmpty()
        if (choice["finish_reason"]?.jsonPrimitive?.contentOrNull != null) isFinished = true
        if (token.isEmpty()) return
        recorder.chunk(request, chunkCount++, token)
        text.append(token)
    }

    private fun recordCompletion() {
        isEnded = true
        recorder.complete(request, headers.adapter, headers.revision, text.toString())
    }

    private fun recordRefusal(certainty: String, detail: String) {
        isEnded = true
        recorder.refused(request, certainty, detail)
    }

    private fun JsonObject.text(key: String): String = getValue(key).jsonPrimitive.content

    private companion object {
        const val DATA_PREFIX = "data: "
        const val DONE_EVENT = "[DONE]"
        const val EVENT_SEPARATOR = "\n\n"
    }
}
