package io.apricotslip.backends.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.backends.http.Attempt
import io.apricotslip.backends.http.HttpBackend
import io.apricotslip.backends.http.HttpCall
import io.apricotslip.backends.http.WholeAnswer
import io.netty.handler.codec.http.HttpMethod
import reactor.core.publisher.Mono

/** Orders to one engine, and its reports. */
internal class EngineOrders(
    private val backend: HttpBackend,
    private val base: String,
    private val options: EngineClientOptions,
) {
    /** Gives the order [verb] within [millis]. Never fails. */
    fun order(verb: String, adapter: AdapterVersion, fence: FenceNumber, millis: Long): Mono<OrderResult> = Mono.defer {
        val attempt = Attempt()
        backend.whole(orderCall(verb, adapter, fence), attempt, options.maxAnswerBytes, millis)
            .map(::read)
            .switchIfEmpty(Mono.fromSupplier { OrderResult.Unanswered("no answer") })
            .onErrorResume { Mono.just(unanswered(attempt, it)) }
    }

    /** Cancels the request at [url]. */
    fun cancel(url: String): Mono<Void> = Mono.defer {
        backend.whole(HttpCall(HttpMethod.DELETE, url), Attempt(), options.maxAnswerBytes, options.orderMillis).then()
    }

    /** Reads a report. */
    fun report(attempt: Attempt): Mono<EngineReport> = backend
        .whole(
            HttpCall(HttpMethod.GET, "$base/v1/report", shared = true),
            attempt,
            options.maxAnswerBytes,
            options.reportMillis,
        )
        .map {
            check(it.status == HttpBackend.OK) { "engine answered ${it.status} to the read of a report" }
            EngineJson.format.decodeFromString(ReportBody.serializer(), it.body.decodeToString()).toReport()
        }

    private fun orderCall(verb: String, adapter: AdapterVersion, fence: FenceNumber): HttpCall {
        val body = OrderBody(adapter.adapter, adapter.version, fence)
        return HttpCall(
            method = HttpMethod.POST,
            url = "$base/v1/adapters/$verb",
            body = EngineJson.format.encodeToString(OrderBody.serializer(), body).encodeToByteArray(),
            contentType = HttpCall.JSON,
        )
    }

    private fun read(answer: WholeAnswer): OrderResult {
        val body = EngineFailures.parseOrder(answer.body)
        val error = body?.error
        return when {
            answer.status == HttpBackend.OK && body?.sequence != null -> OrderResult.Done(body.sequence)
            answer.status == CONFLICT && error == "stale_fence" && body.highest != null ->
                OrderResult.StaleFence(body.highest)
            error != null && (answer.status to error) in refusals -> OrderResult.Rejected(error, body.sequence)
            else -> OrderResult.Unanswered("engine answered ${answer.status} ${error.orEmpty()}".trim())
        }
    }

    private fun unanswered(attempt: Attempt, cause: Throwable): OrderResult {
        if (attempt.giveUp() == Certainty.NOT_RUN) return OrderResult.Rejected(EngineFailures.NOT_SENT)
        return OrderResult.Unanswered(cause.message ?: cause::class.simpleName.orEmpty())
    }

    private companion object {
        const val CONFLICT = 409
        const val NOT_FOUND = 404
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503

        /** Documented answers of an engine that did not obey. */
        val refusals = setOf(
            CONFLICT to "full",
            NOT_FOUND to "not_resident",
            BAD_GATEWAY to "load_failed",
            UNAVAILABLE to "starting",
        )
    }
}
