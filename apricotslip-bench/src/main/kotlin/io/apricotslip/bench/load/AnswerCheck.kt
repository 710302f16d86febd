package io.apricotslip.bench.load

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * Checks one streamed answer of the stand-in engines, whose token number k reads `adapter@version#hash:k `: whole, in
 * order, and all from the adapter that was asked.
 */
internal class AnswerCheck(private val adapter: String, private val maxTokens: Int) {
    /** Tokens received. */
    var tokens: Int = 0
        private set

    /** First thing found wrong, or null. */
    var fault: String? = null
        private set

    /** Code of the refusal with its outcome, or null. */
    var refusal: String? = null
        private set

    /** Whether `[DONE]` was received. */
    var done: Boolean = false
        private set

    /** Takes one line of SSE; returns whether it was a token. */
    fun accept(line: String): Boolean {
        if (!line.startsWith(DATA)) return false
        val data = line.removePrefix(DATA)
        if (data == "[DONE]") {
            done = true
            if (tokens != maxTokens) fault = fault ?: "$tokens tokens of $maxTokens"
            return false
        }
        val body = Json.parseToJsonElement(data).jsonObject
        val error = body["error"]
        if (error != null) {
            refused(data)
            return false
        }
        val choice = body.getValue("choices").jsonArray.first().jsonObject
        val text = choice["text"]?.jsonPrimitive?.content.orEmpty()
        return text.isNotEmpty().also { if (it) token(text) }
    }

    /** Takes the body of a refusal. */
    fun refused(body: String) {
        val error = Json.parseToJsonElement(body).jsonObject["error"]?.jsonObject
        val code = error?.get("code")?.jsonPrimitive?.content ?: "unreadable"
        val outcome = error?.get("outcome")?.jsonPrimitive?.content ?: "unknown"
        refusal = "$code/$outcome"
    }

    private fun token(text: String) {
        if (!text.startsWith("$adapter#")) fault = fault ?: "token of another adapter: $text"
        if (!text.trimEnd().endsWith(":$tokens")) fault = fault ?: "token $tokens out of order: $text"
        tokens++
    }

    private companion object {
        const val DATA = "data: "
    }
}
