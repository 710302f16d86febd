package io.apricotslip.core.http

import io.apricotslip.api.outcome.Refusal
import io.apricotslip.core.entry.Binding
import io.apricotslip.core.entry.CallEvent
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Shape of an answer that LLM clients know. */
internal sealed class AnswerFormat {
    /** `/v1/completions`. */
    data object Text : AnswerFormat()

    /** `/v1/chat/completions`. */
    data object Chat : AnswerFormat()
}

/** Writes answers and refusals as JSON. */
internal class AnswerWriter(
    private val format: AnswerFormat,
    private val request: String,
    private val createdSeconds: Long,
) {
    /** The data of one SSE event. */
    fun event(event: CallEvent, binding: Binding): String = when (event) {
        is CallEvent.Admitted -> ""
        is CallEvent.Token -> Json.encodeToString(JsonObject.serializer(), piece(event.text, null, binding))
        is CallEvent.End -> Json.encodeToString(JsonObject.serializer(), piece("", event.finish, binding))
        is CallEvent.Refused -> refusal(event.refusal, request)
    }

    /** The whole answer in one body. */
    fun whole(text: String, end: CallEvent.End, binding: Binding): String {
        val body =
            answer(if (format is AnswerFormat.Chat) "chat.completion" else "text_completion", binding) {
                when (format) {
                    is AnswerFormat.Text -> put("text", text)
                    is AnswerFormat.Chat -> putJsonObject("message") { message(text) }
                }
                put("finish_reason", end.finish)
            }
        val usage = buildJsonObject { put("completion_tokens", end.total) }
        return Json.encodeToString(JsonObject.serializer(), JsonObject(body + ("usage" to usage)))
    }

    private fun JsonObjectBuilder.message(text: String) {
        put("role", "assistant")
        put("content", text)
    }

    private fun piece(text: String, finish: String?, binding: Binding): JsonObject =
        answer(if (format is AnswerFormat.Chat) "chat.completion.chunk" else "text_completion", binding) {
            when (format) {
                is AnswerFormat.Text -> put("text", text)
                is AnswerFormat.Chat -> putJsonObject("delta") { if (finish == null) message(text) }
            }
            if (finish == null) put("finish_reason", JsonNull) else put("finish_reason", finish)
        }

    private fun answer(kind: String, binding: Binding, choice: JsonObjectBuilder.() -> Unit): JsonObject =
        buildJsonObject {
            put("id", request)
            put("object", kind)
            put("created", createdSeconds)
            put("model", binding.adapter.toString())
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    choice()
                }
            }
        }

    companion object {
        /** A refusal as the JSON that callers may rely on. */
        fun refusal(refusal: Refusal, request: String): String {
            val body =
                buildJsonObject {
                    putJsonObject("error") {
                        put("code", refusal.code.label)
                        put("step", refusal.step.label)
                        put("peer", refusal.peer)
                        put("outcome", refusal.certainty.label)
                        put("message", refusal.detail)
                        put("request", request)
                    }
                }
            return Json.encodeToString(JsonObject.serializer(), body)
        }
    }
}
