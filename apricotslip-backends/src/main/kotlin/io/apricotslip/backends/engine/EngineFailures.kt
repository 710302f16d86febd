package io.apricotslip.backends.engine

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.backends.http.Attempt
import io.apricotslip.backends.http.SilentException
import kotlinx.serialization.SerializationException

/** Makes the errors of one engine. One at [Step.STREAM] is never `not_run`: the request was started before. */
internal class EngineFailures(private val engine: BackendServerId) {
    /** The engine answered [status] and [body] in place of a stream. */
    fun refused(step: Step, status: Int, body: ByteArray): EngineException {
        val error = parseOrder(body)?.error
        val refusal = refusals.firstOrNull { it.status == status && it.error == error }
        val reason = error ?: "status_$status"
        return failure(
            code = refusal?.code ?: RefusalCode.BACKEND_SERVER_FAILED,
            step = step,
            certainty = if (step == Step.STREAM) Certainty.UNKNOWN else refusal?.certainty ?: Certainty.UNKNOWN,
            reason = reason,
            detail = "engine answered $status $reason",
        )
    }

    /** A line of the stream of a request was not acceptable. */
    fun stream(fail: StreamStep.Fail): EngineException =
        failure(fail.code, Step.STREAM, Certainty.UNKNOWN, fail.reason, fail.detail)

    /** The connection of [attempt] failed with [cause]. */
    fun connection(step: Step, attempt: Attempt, cause: Throwable): EngineException {
        if (cause is EngineException) return cause
        val sent = attempt.giveUp()
        val certainty = if (step == Step.STREAM) Certainty.UNKNOWN else sent
        val reason = when {
            sent == Certainty.NOT_RUN -> NOT_SENT
            cause is SilentException -> "silent"
            else -> "connection"
        }
        val detail = cause.message ?: cause::class.simpleName.orEmpty()
        return failure(RefusalCode.BACKEND_SERVER_FAILED, step, certainty, reason, detail)
    }

    private fun failure(code: RefusalCode, step: Step, certainty: Certainty, reason: String, detail: String) =
        EngineException(Refusal(code, step, engine.value, certainty, detail), reason)

    /** An answer of the engine that is documented as a refusal. */
    private class Documented(
        val status: Int,
        val error: String,
        val code: RefusalCode,
        val certainty: Certainty = Certainty.NOT_RUN,
    )

    companion object {
        /** Reason of a call that never left. */
        const val NOT_SENT = "not_sent"

        /** A duplicate says that this very request is known there, so it may have run. */
        private val refusals = listOf(
            Documented(409, "adapter_not_resident", RefusalCode.BACKEND_SERVER_FAILED),
            Documented(409, "duplicate_request", RefusalCode.BACKEND_SERVER_FAILED, Certainty.UNKNOWN),
            Documented(429, "full", RefusalCode.OVERLOADED),
            Documented(503, "starting", RefusalCode.NOT_READY),
        )

        /** Parses the JSON of an answer; null for anything else. */
        fun parseOrder(body: ByteArray): OrderAnswer? = try {
            EngineJson.format.decodeFromString(OrderAnswer.serializer(), body.decodeToString())
        } catch (e: SerializationException) {
            null
        }
    }
}
