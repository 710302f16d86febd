package io.apricotslip.gateway

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.gateway.exchange.RequestMetadata
import io.apricotslip.gateway.exchange.ServerRequestMetadata
import io.apricotslip.gateway.exchange.ServerResponseMetadata
import io.apricotslip.gateway.order.EngineReport
import io.apricotslip.gateway.order.Order
import io.apricotslip.gateway.order.OrderResult
import io.apricotslip.gateway.server.TextCall
import io.apricotslip.serving.workspace.Credential
import io.apricotslip.serving.workspace.Identity
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/**
 * Maps between the gateway's model and the HTTP headers, paths and bodies of one platform.
 *
 * It only translates; routing, retry and order decisions are made elsewhere.
 */
public interface Dialect {
    /** Reads the request id from the headers of a request or of a response; null if they have none. */
    public fun requestId(headers: HttpHeaders): String?

    /** Parses the headers of a caller's request. */
    public fun parseRequestHeaders(headers: HttpHeaders): RequestMetadata

    /** Reads what a request presents to identify its workspace; computes the digest of its key. */
    public fun parseCredential(headers: HttpHeaders): Credential

    /**
     * Returns the headers for a request to a backend server: the caller's headers that may be forwarded, and those
     * that [send] adds.
     */
    public fun serverRequestHeaders(caller: HttpHeaders, send: ServerRequestMetadata): HttpHeaders

    /**
     * Returns the headers for a request that another node of the fleet serves: all of the caller's, with [budgetMillis]
     * as the time that is left. Where [identity] is known, it takes the place of the caller's credential; it is null
     * when no key was checked.
     */
    public fun passedOnRequestHeaders(caller: HttpHeaders, budgetMillis: Long, identity: Identity? = null): HttpHeaders

    /** Parses the status and headers of a backend server's response, to a request or to a call of this node. */
    public fun parseServerResponse(status: Int, headers: HttpHeaders): ServerResponseMetadata

    /** Returns the headers of a backend server's response that are forwarded to the caller. */
    public fun callerResponseHeaders(response: HttpResponse): HttpHeaders

    /** Returns the headers of a response that the gateway itself creates for request [id]. */
    public fun gatewayResponseHeaders(id: String?, retryAfterMillis: Long?): HttpHeaders

    /** Returns the headers of the response to request [id], which is refused for want of a valid key. */
    public fun unauthorizedResponseHeaders(id: String?): HttpHeaders

    /** Returns the HTTP call that sends [order]. */
    public fun orderCall(order: Order): TextCall

    /** Returns the HTTP call that queries which adapters [server] holds. */
    public fun reportCall(server: BackendServerId): TextCall

    /** Returns the HTTP call that checks the status of [server], a server of a plain service, at [path]. */
    public fun statusCall(server: BackendServerId, path: String): TextCall

    /** Parses the response to [reportCall]; null if it is not a valid report. */
    public fun parseReport(status: Int, body: String): EngineReport?

    /** Parses the HTTP status of the response to an order. */
    public fun parseOrderResult(status: Int): OrderResult
}
