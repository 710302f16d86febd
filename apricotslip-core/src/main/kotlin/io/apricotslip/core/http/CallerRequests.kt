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

/** A completion that a caller asked for. */
internal data class ParsedCall(val spec: CallSpec, val stream: Boolean, val format: AnswerFormat)

/** Reads callers' requests. An error is one sentence for the caller. */
internal class CallerRequests(private val settings: CallerSettings) {
    private val deadlineFault = "header ${CallerHeaders.DEADLINE}: must be 1..${settings.maxDeadlineMillis}"

    /** Reads a completion of the shape [format]. */
    fun completion(
        format: AnswerFormat,
        headers: HttpHeaders,
        request: RequestId,
        body: String,
    ): Result<ParsedCall, String> {
        val workClass = workClass(headers)
        val customer = customer(headers)
        val deadline = deadline(headers)
        val text = read(format, body)
        val fault =
            when {
                workClass == null -> "header ${CallerHeaders.CLASS}: unknown class"
                customer == null -> "header ${CallerHeaders.CUSTOMER}: longer than $MAX_NAME_CHARS"
                deadline == null -> deadlineFault
                text == null -> "body: not a completion request in JSON"
                text.model.isEmpty() -> "model: must not be empty"
                text.maxTokens !in 1..MAX_TOKENS -> "max_tokens: must be 1..$MAX_TOKENS"
                else -> {
                    val spec = spec(request, headers, workClass, customer, deadline, text)
                    return Ok(ParsedCall(spec, text.stream, format))
                }
            }
        return Err(fault)
    }

    private fun spec(
        request: RequestId,
        headers: HttpHeaders,
        workClass: WorkClass,
        customer: CustomerId,
        deadline: Long,
        text: CompletionRequest,
    ) = CallSpec(
        request = request,
        model = text.model,
        workClass = workClass,
        customer = customer,
        prompt = text.prompt,
        maxTokens = text.maxTokens,
        deadlineMillis = deadline,
        traceparent = headers[CallerHeaders.TRACEPARENT],
    )

    /** Reads a call of a plain service. */
    fun service(
        method: String,
        service: String,
        path: String,
        headers: HttpHeaders,
        request: RequestId,
        body: ByteArray,
    ): Result<ServiceRequest, String> {
        val key = headers[CallerHeaders.KEY]
        val repeatable = method in REPEATABLE
        if (!repeatable && key == null) return Err("header ${CallerHeaders.KEY}: needed for $method, a UUID version 7")
        val deadline =
            deadline(headers)
                ?: return Err("header ${CallerHeaders.DEADLINE}: must be 1..${settings.maxDeadlineMillis}")
        return Ok(
            ServiceRequest(
                request = request,
                service = ServiceId(service),
                method = method,
                path = path,
                contentType = headers["Content-Type"],
                body = body,
                key = key.takeUnless { repeatable },
                deadlineMillis = deadline,
                traceparent = headers[CallerHeaders.TRACEPARENT],
            ),
        )
    }

    private fun read(format: AnswerFormat, body: String): CompletionRequest? = try {
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
        val label = headers[CallerHeaders.CLASS] ?: return WorkClass.INTERACTIVE
        return WorkClass.of(label)
    }

    private fun customer(headers: HttpHeaders): CustomerId? {
        val name = headers[CallerHeaders.CUSTOMER] ?: ANONYMOUS
        return CustomerId(name).takeIf { name.length <= MAX_NAME_CHARS }
    }

    private fun deadline(headers: HttpHeaders): Long? {
        val text = headers[CallerHeaders.DEADLINE] ?: return settings.defaultDeadlineMillis
        return text.toLongOrNull()?.takeIf { it in 1..settings.maxDeadlineMillis }
    }

    companion object {
        private const val MAX_TOKENS = 32_768
        private const val MAX_NAME_CHARS = 200
        private const val ANONYMOUS = "anonymous"
        private val REPEATABLE = setOf("GET", "HEAD")
        private val requestName = Regex("[A-Za-z0-9_-]{1,64}")
        private val json = Json { ignoreUnknownKeys = true }

        /** Whether a caller may name its request [name]. */
        fun isRequestName(name: String): Boolean = requestName.matches(name)
    }
}
