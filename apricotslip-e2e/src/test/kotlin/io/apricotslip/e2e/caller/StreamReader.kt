package io.apricotslip.e2e.caller

import io.apricotslip.testutils.history.CallerRecorder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Reads the SSE events of one answer and records them; [isEnded] once it was answered in whole or refused. */
internal class StreamReader(private val request: String, private val recorder: CallerRecorder) {
    private val buffer = StringBuilder()
    private val text = StringBuilder()
    private var pieces = 0
    private var isFinished = false

    var answer: AnswerHeaders = AnswerHeaders(null, null)

    @Volatile
    var isEnded: Boolean = false
        private set

    /** Takes the next piece of the body. */
    fun accept(piece: String) {
        buffer.append(piece)
        while (true) {
            val end = buffer.indexOf(EVENT_END)
            if (end < 0) return
            event(buffer.substring(0, end).removePrefix(DATA))
            buffer.delete(0, end + EVENT_END.length)
        }
    }

    /** The body ended, or the connection was lost with [error]. */
    fun end(error: Throwable? = null) {
        if (!isEnded) refused("unknown", if (error is java.util.concurrent.TimeoutException) "hang" else "connection")
    }

    /** Records the refusal in [body], the JSON of an answer. */
    fun refusal(body: String) {
        val error = (Json.parseToJsonElement(body) as JsonObject).getValue("error").jsonObject
        refused(error.text("outcome"), error.text("code"))
    }

    private fun event(data: String) {
        when {
            data == DONE && isFinished -> complete()
            data == DONE -> refused("unknown", "done_without_finish")
            "\"error\"" in data -> refusal(data)
            else -> piece(Json.parseToJsonElement(data).jsonObject)
        }
    }

    private fun piece(event: JsonObject) {
        val choice = event.getValue("choices").jsonArray.first().jsonObject
        val token = choice["text"]?.jsonPrimitive?.contentOrNull.orEmpty()
        if (choice["finish_reason"]?.jsonPrimitive?.contentOrNull != null) isFinished = true
        if (token.isEmpty()) return
        recorder.chunk(request, pieces++, token)
        text.append(token)
    }

    private fun complete() {
        isEnded = true
        recorder.complete(request, answer.adapter, answer.revision, text.toString())
    }

    private fun refused(certainty: String, detail: String) {
        isEnded = true
        recorder.refused(request, certainty, detail)
    }

    private fun JsonObject.text(key: String): String = getValue(key).jsonPrimitive.content

    private companion object {
        const val DATA = "data: "
        const val DONE = "[DONE]"
        const val EVENT_END = "\n\n"
    }
}
