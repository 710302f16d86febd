package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/**
 * Takes the answer to the request on an [HttpConnection]. Exactly one of [onComplete] and [onFailure] comes, and nothing after it.
 */
public interface ResponseListener {
    /**
     * The head of an answer arrived. Returns false for an answer that belongs to another request: it is skipped, and
     * the
     * next one is awaited.
     */
    public fun onHead(response: HttpResponse): Boolean

    /** A part of the body arrived; [bytes] are valid during the call only. */
    public fun onBody(bytes: ByteBuf)

    /** The answer is whole. */
    public fun onComplete()

    /** The connection ended, or was given up, before the answer was whole. */
    public fun onFailure(reason: String)
}
