package io.apricotslip.backends.service

import io.apricotslip.api.manifest.ReplicaEntry
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Outcome
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.backends.http.Attempt
import io.apricotslip.backends.http.HttpBackend
import io.apricotslip.backends.http.HttpCall
import io.netty.handler.codec.http.HttpMethod
import reactor.core.publisher.Mono

/**
 * Client of plain services over HTTP/1.1.
 *
 * A call is sent at most once. Calls other than `GET` and `HEAD` have a connection of their own, so that none meets
 * one that the replica is closing. An answer received whole is [Outcome.Completed] whatever its status.
 */
public class HttpServiceClient(private val options: ServiceClientOptions = ServiceClientOptions()) :
    ServiceClient,
    AutoCloseable {
    private val backend = HttpBackend(
        name = "services",
        maxConnections = options.maxConnections,
        maxWaiting = options.maxWaiting,
        acquireMillis = options.acquireMillis,
        connectMillis = options.connectMillis,
    )

    override fun call(replica: ReplicaEntry, call: ServiceCall): Mono<Outcome<ServiceAnswer>> = Mono.defer {
        val fault = fault(call)
        if (fault != null) Mono.just(malformed(replica, fault)) else send(replica, call)
    }

    /** Closes all connections; calls under way end as unknown. */
    override fun close() {
        backend.close()
    }

    private fun send(replica: ReplicaEntry, call: ServiceCall): Mono<Outcome<ServiceAnswer>> {
        val attempt = Attempt()
        return backend.whole(httpCall(replica, call), attempt, options.maxAnswerBytes, options.timeoutMillis)
            .map<Outcome<ServiceAnswer>> {
                Outcome.Completed(ServiceAnswer(it.status, it.contentType, it.body))
            }
            .switchIfEmpty(Mono.fromSupplier { failed(replica, attempt, "no answer") })
            .onErrorResume { Mono.just(failed(replica, attempt, it.message ?: it::class.simpleName.orEmpty())) }
    }

    private fun httpCall(replica: ReplicaEntry, call: ServiceCall) = HttpCall(
        method = HttpMethod.valueOf(call.method),
        url = HttpBackend.baseUrl(replica.address, replica.port) + call.path,
        body = call.body,
        contentType = call.contentType,
        headers = listOfNotNull(
            call.idempotencyKey?.let { "Idempotency-Key" to it },
            call.traceparent?.let { "traceparent" to it },
        ),
        shared = call.method in repeatable,
    )

    private fun fault(call: ServiceCall): String? = when {
        !method.matches(call.method) -> "method is not a word"
        !path.matches(call.path) -> "path does not begin with / or holds characters that need encoding"
        headerValues(call).any { value -> value.any { it.isISOControl() } } -> "header holds a control character"
        else -> null
    }

    private fun headerValues(call: ServiceCall) = listOfNotNull(call.contentType, call.idempotencyKey, call.traceparent)

    private fun malformed(replica: ReplicaEntry, detail: String): Outcome<ServiceAnswer> = Outcome.NotRun(
        Refusal(RefusalCode.BAD_REQUEST, Step.RESERVE, replica.id.value, Certainty.NOT_RUN, detail),
    )

    private fun failed(replica: ReplicaEntry, attempt: Attempt, detail: String): Outcome<ServiceAnswer> {
        val certainty = attempt.giveUp()
        val refusal =
            Refusal(RefusalCode.BACKEND_SERVER_FAILED, Step.RESERVE, replica.id.value, certainty, detail)
        return when (certainty) {
            Certainty.NOT_RUN -> Outcome.NotRun(refusal)
            Certainty.UNKNOWN -> Outcome.Unknown(refusal)
        }
    }

    private companion object {
        val repeatable = setOf("GET", "HEAD")
        val method = Regex("[A-Z]{1,16}")
        val path = Regex("/[!-~]*")
    }
}
