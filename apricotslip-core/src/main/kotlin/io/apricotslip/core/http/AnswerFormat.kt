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

/** Response format of a completion endpoint, as LLM clients expect it. */
internal sealed class AnswerFormat {
    /** `/v1/completions`. */
    data object Text : AnswerFormat()

    /** `/v1/chat/completions`. */
    data object Chat : AnswerFormat()
}

/** Serializes answers and refusals as JSON. */
internal class AnswerWriter(
    private val format: AnswerFormat,
    private val request: String,
    private val createdSeconds: Long,
) {
    /** Returns the data of one SSE event. */
    fun eventData(event: CallEvent, binding: Binding): String = when (event) {
        is CallEvent.Admitted -> ""
        is CallEvent.Token -> Json.encodeToString(JsonObject.serializer(), chunk(event.text, null, binding))
        is CallEvent.End -> Json.encodeToString(JsonObject.serializer(), chunk("", event.finishReason, binding))
        is CallEvent.Refused -> refusal(event.refusal, request)
    }

    /** Returns the complete answer as one response body. */
    fun completeBody(text: String, end: CallEvent.End, binding: Binding): String {
        val body =
            responseObject(if (format is AnswerFormat.Chat) "chat.completion" else "text_completion", binding) {
                when (format) {
                    is AnswerFormat.Text -> put("text", text)
                    is AnswerFormat.Chat -> putJsonObject("message") { putMessage(text) }
                }
                put("finish_reason", end.finishReason)
            }
        val usage = buildJsonObject { put("completion_tokens", end.totalTokens) }
        return Json.encodeToString(JsonObject.serializer(), JsonObject(body + ("usage" to usage)))
    }

    private fun JsonObjectBuilder.putMessage(text: String) {
        put("role", "assistant")
        put("content", text)
    }

    private fun chunk(text: String, finishReason: String?, binding: Binding): JsonObject =
        responseObject(if (format is AnswerFormat.Chat) "chat.completion.chunk" else "text_completion", binding) {
            when (format) {
                is AnswerFormat.Text -> put("text", text)
                is AnswerFormat.Chat -> putJsonObject("delta") { if (finishReason == null) putMessage(text) }
            }
            if (finishReason == null) put("finish_reason", JsonNull) else put("finish_reason", finishReason)
        }

    private fun responseObject(
        objectType: String,
        binding: Binding,
        putChoice: JsonObjectBuilder.() -> Unit,
    ): JsonObject = buildJsonObject {
        put("id", request)
        put("object", objectType)
        put("created", createdSeconds)
        put("model", binding.adapter.toString())
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                putChoice()
            }
        }
    }

    companion object {
        /** Returns [refusal] as JSON. Its fields are part of the interface to callers. */
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
