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
 * A call is sent at most once. Each call other than `GET` and `HEAD` opens its own connection, so that it never uses a
 * pooled one that the replica is closing. A complete response is [Outcome.Completed] whatever its status.
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
        val fault = faultOf(call)
        if (fault != null) Mono.just(malformed(replica, fault)) else send(replica, call)
    }

    /** Closes all connections; open calls end as [Outcome.Unknown]. */
    override fun close() {
        backend.close()
    }

    private fun send(replica: ReplicaEntry, call: ServiceCall): Mono<Outcome<ServiceAnswer>> {
        val attempt = Attempt()
        return backend.fetch(httpCall(replica, call), attempt, options.maxResponseBytes, options.timeoutMillis)
            .map<Outcome<ServiceAnswer>> {
                Outcome.Completed(ServiceAnswer(it.status, it.contentType, it.body))
            }
            .switchIfEmpty(Mono.fromSupplier { failure(replica, attempt, "no answer") })
            .onErrorResume { Mono.just(failure(replica, attempt, it.message ?: it::class.simpleName.orEmpty())) }
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
        reuseConnection = call.method in safeMethods,
    )

    private fun faultOf(call: ServiceCall): String? = when {
        !methodPattern.matches(call.method) -> "method is not a word"
        !pathPattern.matches(call.path) -> "path does not begin with / or holds characters that need encoding"
        headerValues(call).any { value -> value.any { it.isISOControl() } } -> "header holds a control character"
        else -> null
    }

    private fun headerValues(call: ServiceCall) = listOfNotNull(call.contentType, call.idempotencyKey, call.traceparent)

    private fun malformed(replica: ReplicaEntry, detail: String): Outcome<ServiceAnswer> = Outcome.NotRun(
        Refusal(RefusalCode.BAD_REQUEST, Step.RESERVE, replica.id.value, Certainty.NOT_RUN, detail),
    )

    private fun failure(replica: ReplicaEntry, attempt: Attempt, detail: String): Outcome<ServiceAnswer> {
        val certainty = attempt.abandon()
        val refusal =
            Refusal(RefusalCode.BACKEND_SERVER_FAILED, Step.RESERVE, replica.id.value, certainty, detail)
        return when (certainty) {
            Certainty.NOT_RUN -> Outcome.NotRun(refusal)
            Certainty.UNKNOWN -> Outcome.Unknown(refusal)
        }
    }

    private companion object {
        val safeMethods = setOf("GET", "HEAD")
        val methodPattern = Regex("[A-Z]{1,16}")
        val pathPattern = Regex("/[!-~]*")
    }
}
