package io.apricotslip.core.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.work.WorkClass
import io.apricotslip.core.entry.CallSpec
import io.apricotslip.core.service.ServiceRequest
import io.apricotslip.settings.CallerSettings
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** A parsed completion request; [stream] selects SSE instead of one JSON body. */
internal data class ParsedCall(val spec: CallSpec, val stream: Boolean, val format: AnswerFormat)

/** Parses callers' requests. An error is a one-line message for the caller. */
internal class CallerRequests(private val settings: CallerSettings) {
    private val deadlineError = "header ${CallerHeaders.DEADLINE_MILLIS}: must be 1..${settings.maxDeadlineMillis}"

    /** Parses a completion request in [format]. */
    fun parseCompletion(
        format: AnswerFormat,
        headers: HttpHeaders,
        request: RequestId,
        body: String,
    ): Result<ParsedCall, String> {
        val workClass = workClass(headers)
        val customer = customer(headers)
        val deadline = deadline(headers)
        val completion = decode(format, body)
        val error =
            when {
                workClass == null -> "header ${CallerHeaders.WORK_CLASS}: unknown class"
                customer == null -> "header ${CallerHeaders.CUSTOMER}: longer than $MAX_CUSTOMER_CHARS"
                deadline == null -> deadlineError
                completion == null -> "body: not a completion request in JSON"
                completion.model.isEmpty() -> "model: must not be empty"
                completion.maxTokens !in 1..MAX_TOKENS -> "max_tokens: must be 1..$MAX_TOKENS"
                else -> {
                    val spec = spec(request, headers, workClass, customer, deadline, completion)
                    return Ok(ParsedCall(spec, completion.stream, format))
                }
            }
        return Err(error)
    }

    private fun spec(
        request: RequestId,
        headers: HttpHeaders,
        workClass: WorkClass,
        customer: CustomerId,
        deadline: Long,
        completion: CompletionRequest,
    ) = CallSpec(
        request = request,
        model = completion.model,
        workClass = workClass,
        customer = customer,
        prompt = completion.prompt,
        maxTokens = completion.maxTokens,
        deadlineMillis = deadline,
        traceparent = headers[CallerHeaders.TRACEPARENT],
    )

    /** Parses a call of a plain service. */
    fun parseService(
        method: String,
        service: String,
        path: String,
        headers: HttpHeaders,
        request: RequestId,
        body: ByteArray,
    ): Result<ServiceRequest, String> {
        val key = headers[CallerHeaders.IDEMPOTENCY_KEY]
        val idempotent = method in IDEMPOTENT_METHODS
        if (!idempotent && key == null) {
            return Err("header ${CallerHeaders.IDEMPOTENCY_KEY}: needed for $method, a UUID version 7")
        }
        val deadline =
            deadline(headers)
                ?: return Err("header ${CallerHeaders.DEADLINE_MILLIS}: must be 1..${settings.maxDeadlineMillis}")
        return Ok(
            ServiceRequest(
                request = request,
                service = ServiceId(service),
                method = method,
                path = path,
                contentType = headers["Content-Type"],
                body = body,
                key = key.takeUnless { idempotent },
                deadlineMillis = deadline,
                traceparent = headers[CallerHeaders.TRACEPARENT],
            ),
        )
    }

    private fun decode(format: AnswerFormat, body: String): CompletionRequest? = try {
        when (format) {
            is AnswerFormat.Text -> json.decodeFromString<CompletionRequest>(body)
            is AnswerFormat.Chat -> json.decodeFromString<ChatRequest>(body).toCompletion()
        }
    } catch (e: SerializationException) {
        null
    }

    private fun ChatRequest.toCompletion() = CompletionRequest(
        model = model,
        prompt = messages.joinToString("\n") { "${it.role}: ${it.content}" },
        stream = stream,
        maxTokens = maxTokens,
    )

    private fun workClass(headers: HttpHeaders): WorkClass? {
        val label = headers[CallerHeaders.WORK_CLASS] ?: return WorkClass.INTERACTIVE
        return WorkClass.of(label)
    }

    private fun customer(headers: HttpHeaders): CustomerId? {
        val name = headers[CallerHeaders.CUSTOMER] ?: ANONYMOUS_CUSTOMER
        return CustomerId(name).takeIf { name.length <= MAX_CUSTOMER_CHARS }
    }

    private fun deadline(headers: HttpHeaders): Long? {
        val text = headers[CallerHeaders.DEADLINE_MILLIS] ?: return settings.defaultDeadlineMillis
        return text.toLongOrNull()?.takeIf { it in 1..settings.maxDeadlineMillis }
    }

    companion object {
        private const val MAX_TOKENS = 32_768
        private const val MAX_CUSTOMER_CHARS = 200
        private const val ANONYMOUS_CUSTOMER = "anonymous"
        private val IDEMPOTENT_METHODS = setOf("GET", "HEAD")
        private val requestIdPattern = Regex("[A-Za-z0-9_-]{1,64}")
        private val json = Json { ignoreUnknownKeys = true }

        /** Returns whether a caller may use [name] as the id of its request. */
        fun isValidRequestId(name: String): Boolean = requestIdPattern.matches(name)
    }
}
