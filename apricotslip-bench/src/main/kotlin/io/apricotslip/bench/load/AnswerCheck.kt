package io.apricotslip.bench.load

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * Checks that a streamed answer of the stand-in engines is complete, in order, and all from the requested adapter. Its
 * token number k reads `adapter@version#hash:k `.
 */
internal class AnswerCheck(private val adapter: String, private val maxTokens: Int) {
    /** Tokens received. */
    var tokens: Int = 0
        private set

    /** First fault found, or null. */
    var fault: String? = null
        private set

    /** Refusal as `code/outcome`, or null. */
    var refusal: String? = null
        private set

    /** Whether `[DONE]` was received. */
    var done: Boolean = false
        private set

    /** Handles one SSE line; returns whether it carried a token. */
    fun acceptLine(line: String): Boolean {
        if (!line.startsWith(DATA_PREFIX)) return false
        val data = line.removePrefix(DATA_PREFIX)
        if (data == "[DONE]") {
            done = true
            if (tokens != maxTokens) fault = fault ?: "$tokens tokens of $maxTokens"
            return false
        }
        val body = Json.parseToJsonElement(data).jsonObject
        val error = body["error"]
        if (error != null) {
            acceptRefusal(data)
            return false
        }
        val choice = body.getValue("choices").jsonArray.first().jsonObject
        val text = choice["text"]?.jsonPrimitive?.content.orEmpty()
        return text.isNotEmpty().also { if (it) acceptToken(text) }
    }

    /** Records the code and outcome from the [body] of a refusal. */
    fun acceptRefusal(body: String) {
        val error = Json.parseToJsonElement(body).jsonObject["error"]?.jsonObject
        val code = error?.get("code")?.jsonPrimitive?.content ?: "unreadable"
        val outcome = error?.get("outcome")?.jsonPrimitive?.content ?: "unknown"
        refusal = "$code/$outcome"
    }

    private fun acceptToken(text: String) {
        if (!text.startsWith("$adapter#")) fault = fault ?: "token of another adapter: $text"
        if (!text.trimEnd().endsWith(":$tokens")) fault = fault ?: "token $tokens out of order: $text"
        tokens++
    }

    private companion object {
        const val DATA_PREFIX = "data: "
    }
}
