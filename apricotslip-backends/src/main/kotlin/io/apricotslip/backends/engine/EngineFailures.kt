package io.apricotslip.backends.engine

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.backends.http.Attempt
import io.apricotslip.backends.http.ResponseTimeoutException
import kotlinx.serialization.SerializationException

/**
 * Creates the exceptions for failed calls of one engine. The certainty of a failure at [Step.STREAM] is never
 * [Certainty.NOT_RUN], because the request was started before.
 */
internal class EngineFailures(private val engine: BackendServerId) {
    /** Failure for an engine that answered with [status] and [body] instead of a stream. */
    fun responseFailure(step: Step, status: Int, body: ByteArray): EngineException {
        val error = parseResponse(body)?.error
        val refusal = documentedRefusals.firstOrNull { it.status == status && it.error == error }
        val reason = error ?: "status_$status"
        return exception(
            code = refusal?.code ?: RefusalCode.BACKEND_SERVER_FAILED,
            step = step,
            certainty = if (step == Step.STREAM) Certainty.UNKNOWN else refusal?.certainty ?: Certainty.UNKNOWN,
            reason = reason,
            detail = "engine answered $status $reason",
        )
    }

    /** Failure for an invalid line or an early end of a stream. */
    fun streamFailure(fail: LineResult.Fail): EngineException =
        exception(fail.code, Step.STREAM, Certainty.UNKNOWN, fail.reason, fail.detail)

    /** Failure for a connection that failed with [cause]; an [EngineException] is returned as it is. */
    fun connectionFailure(step: Step, attempt: Attempt, cause: Throwable): EngineException {
        if (cause is EngineException) return cause
        val attemptCertainty = attempt.abandon()
        val certainty = if (step == Step.STREAM) Certainty.UNKNOWN else attemptCertainty
        val reason = when {
            attemptCertainty == Certainty.NOT_RUN -> NOT_SENT
            cause is ResponseTimeoutException -> "silent"
            else -> "connection"
        }
        val detail = cause.message ?: cause::class.simpleName.orEmpty()
        return exception(RefusalCode.BACKEND_SERVER_FAILED, step, certainty, reason, detail)
    }

    private fun exception(code: RefusalCode, step: Step, certainty: Certainty, reason: String, detail: String) =
        EngineException(Refusal(code, step, engine.value, certainty, detail), reason)

    /** A response that the engine's interface documents as a refusal. */
    private class DocumentedRefusal(
        val status: Int,
        val error: String,
        val code: RefusalCode,
        val certainty: Certainty = Certainty.NOT_RUN,
    )

    companion object {
        /** Reason of a call that was never sent. */
        const val NOT_SENT = "not_sent"

        /** A `duplicate_request` means that the engine already knows this request, so the request may have run. */
        private val documentedRefusals = listOf(
            DocumentedRefusal(409, "adapter_not_resident", RefusalCode.BACKEND_SERVER_FAILED),
            DocumentedRefusal(409, "duplicate_request", RefusalCode.BACKEND_SERVER_FAILED, Certainty.UNKNOWN),
            DocumentedRefusal(429, "full", RefusalCode.OVERLOADED),
            DocumentedRefusal(503, "starting", RefusalCode.NOT_READY),
        )

        /** Parses the JSON body of a response; returns null for any other body. */
        fun parseResponse(body: ByteArray): OrderResponse? = try {
            EngineJson.format.decodeFromString(OrderResponse.serializer(), body.decodeToString())
        } catch (e: SerializationException) {
            null
        }
    }
}
