package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/**
 * Receives the response to a request on an [HttpConnection].
 *
 * Exactly one of [onComplete] and [onFailure] is called, as the last call.
 */
public interface ResponseListener {
    /**
     * The status and headers of a response arrived. Returns false if the response belongs to another request: it is
     * skipped then, and the next response is awaited.
     */
    public fun onHead(response: HttpResponse): Boolean

    /** A part of the body arrived; [bytes] is valid only during the call. */
    public fun onBody(bytes: ByteBuf)

    /** The response is complete. */
    public fun onComplete()

    /** The connection failed or was closed, for [reason], before the response was complete. */
    public fun onFailure(reason: String)
}
