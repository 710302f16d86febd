package io.apricotslip.core.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of `POST /v1/completions`. Unknown fields are ignored, because LLM clients send many more than these. */
@Serializable
internal data class CompletionRequest(
    val model: String,
    val prompt: String,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int = DEFAULT_MAX_TOKENS,
)

/** Body of `POST /v1/chat/completions`. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int = DEFAULT_MAX_TOKENS,
)

/** One message of a chat request. */
@Serializable
internal data class ChatMessage(val role: String, val content: String)

internal const val DEFAULT_MAX_TOKENS = 256
