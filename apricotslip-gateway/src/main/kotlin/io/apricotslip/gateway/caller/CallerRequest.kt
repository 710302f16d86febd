package io.apricotslip.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * A whole request of a caller.
 *
 * @property uri path and query as they came.
 * @property arrivedAt time of its last byte, in milliseconds of the steady clock.
 */
public class CallerRequest(
    public val method: HttpMethod,
    public val uri: String,
    public val headers: HttpHeaders,
    public val body: ByteBuf,
    public val arrivedAt: Long,
) {
    /** The path without the query. */
    public val path: String
        get() = uri.substringBefore('?')
}
