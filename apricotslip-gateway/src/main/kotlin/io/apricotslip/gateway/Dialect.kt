package io.apricotslip.gateway

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.gateway.exchange.RequestMetadata
import io.apricotslip.gateway.exchange.ServerRequestMetadata
import io.apricotslip.gateway.exchange.ServerResponseMetadata
import io.apricotslip.gateway.order.EngineReport
import io.apricotslip.gateway.order.Order
import io.apricotslip.gateway.order.OrderResult
import io.apricotslip.gateway.server.TextCall
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/** The names that callers and backend servers use on the wire. It translates and decides nothing. */
public interface Dialect {
    /** Reads the headers of a caller's request. */
    public fun parseRequestHeaders(headers: HttpHeaders): RequestMetadata

    /** Headers for a backend server: those of the caller that may pass, and what [send] says. */
    public fun serverRequestHeaders(caller: HttpHeaders, send: ServerRequestMetadata): HttpHeaders

    /** Reads the head of a backend server's answer. */
    public fun parseServerResponse(response: HttpResponse): ServerResponseMetadata

    /** Headers of a backend server's answer that pass to the caller. */
    public fun callerResponseHeaders(response: HttpResponse): HttpHeaders

    /** Headers of an answer of the system's own to request [id]. */
    public fun gatewayResponseHeaders(id: String?, retryAfterMillis: Long?): HttpHeaders

    /** The HTTP call for [order]. */
    public fun orderCall(order: Order): TextCall

    /** The HTTP call that asks [server] what it holds. */
    public fun reportCall(server: BackendServerId): TextCall

    /** Reads the answer to that call; null when it is none. */
    public fun parseReport(status: Int, body: String): EngineReport?

    /** Reads the answer to an order. */
    public fun parseOrderResult(status: Int): OrderResult
}
