package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/**
 * Takes the answer to the request on an [HttpLink]. Exactly one of [ended] and [broken] comes, and nothing after it.
 */
public interface LinkListener {
    /**
     * The head of an answer arrived. Returns false for an answer that belongs to another request: it is skipped, and
     * the
     * next one is awaited.
     */
    public fun head(response: HttpResponse): Boolean

    /** A part of the body arrived; [bytes] are valid during the call only. */
    public fun body(bytes: ByteBuf)

    /** The answer is whole. */
    public fun ended()

    /** The connection ended, or was given up, before the answer was whole. */
    public fun broken(reason: String)
}
