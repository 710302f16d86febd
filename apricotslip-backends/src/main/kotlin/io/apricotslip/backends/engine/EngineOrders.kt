package io.apricotslip.backends.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.backends.http.Attempt
import io.apricotslip.backends.http.FullResponse
import io.apricotslip.backends.http.HttpBackend
import io.apricotslip.backends.http.HttpCall
import io.netty.handler.codec.http.HttpMethod
import reactor.core.publisher.Mono

/** Sends orders to one engine and reads its reports. */
internal class EngineOrders(
    private val backend: HttpBackend,
    private val baseUrl: String,
    private val options: EngineClientOptions,
) {
    /** Sends the order [verb] and waits at most [timeoutMillis] for its result. The returned Mono never fails. */
    fun order(verb: String, adapter: AdapterVersion, fence: FenceNumber, timeoutMillis: Long): Mono<OrderResult> =
        Mono.defer {
            val attempt = Attempt()
            backend.fetch(orderCall(verb, adapter, fence), attempt, options.maxResponseBytes, timeoutMillis)
                .map(::toResult)
                .switchIfEmpty(Mono.fromSupplier { OrderResult.Unanswered("no answer") })
                .onErrorResume { Mono.just(unanswered(attempt, it)) }
        }

    /** Cancels the request at [url]. */
    fun cancel(url: String): Mono<Void> = Mono.defer {
        backend.fetch(HttpCall(HttpMethod.DELETE, url), Attempt(), options.maxResponseBytes, options.orderMillis).then()
    }

    /** Reads a report. Fails on any status but 200, a body that can't be parsed, and connection errors. */
    fun report(attempt: Attempt): Mono<EngineReport> = backend
        .fetch(
            HttpCall(HttpMethod.GET, "$baseUrl/v1/report", reuseConnection = true),
            attempt,
            options.maxResponseBytes,
            options.reportMillis,
        )
        .map {
            check(it.status == HttpBackend.STATUS_OK) { "engine answered ${it.status} to the read of a report" }
            EngineJson.format.decodeFromString(ReportBody.serializer(), it.body.decodeToString()).toReport()
        }

    private fun orderCall(verb: String, adapter: AdapterVersion, fence: FenceNumber): HttpCall {
        val body = OrderBody(adapter.adapter, adapter.version, fence)
        return HttpCall(
            method = HttpMethod.POST,
            url = "$baseUrl/v1/adapters/$verb",
            body = EngineJson.format.encodeToString(OrderBody.serializer(), body).encodeToByteArray(),
            contentType = HttpCall.JSON,
        )
    }

    private fun toResult(response: FullResponse): OrderResult {
        val body = EngineFailures.parseResponse(response.body)
        val error = body?.error
        return when {
            response.status == HttpBackend.STATUS_OK && body?.sequence != null -> OrderResult.Done(body.sequence)
            response.status == CONFLICT && error == "stale_fence" && body.highest != null ->
                OrderResult.StaleFence(body.highest)
            error != null && (response.status to error) in documentedRefusals ->
                OrderResult.Rejected(error, body.sequence)
            else -> OrderResult.Unanswered("engine answered ${response.status} ${error.orEmpty()}".trim())
        }
    }

    private fun unanswered(attempt: Attempt, cause: Throwable): OrderResult {
        if (attempt.abandon() == Certainty.NOT_RUN) return OrderResult.Rejected(EngineFailures.NOT_SENT)
        return OrderResult.Unanswered(cause.message ?: cause::class.simpleName.orEmpty())
    }

    private companion object {
        const val CONFLICT = 409
        const val NOT_FOUND = 404
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503

        /** Status and error of the documented responses to an order that had no effect. */
        val documentedRefusals = setOf(
            CONFLICT to "full",
            NOT_FOUND to "not_resident",
            BAD_GATEWAY to "load_failed",
            UNAVAILABLE to "starting",
        )
    }
}
