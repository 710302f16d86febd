package io.apricotslip.gateway.caller

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes the responses to callers. A response to HEAD has no body, whatever its headers say. */
internal class CallerEncoder : HttpResponseEncoder() {
    /** Whether the next response belongs to a HEAD request. */
    var respondsToHead = false

    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean =
        respondsToHead || super.isContentAlwaysEmpty(response)
}
