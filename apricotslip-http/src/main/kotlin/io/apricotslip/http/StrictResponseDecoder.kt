package io.apricotslip.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes responses, and refuses heads that HTTP does not allow: the decoder result of such a message is a failure with
 * a [MalformedHeadException].
 *
 * Each part is checked as it was received. Netty parses a status to a number, and no check of the parsed message could
 * tell what was left out.
 */
public open class StrictResponseDecoder(config: HttpDecoderConfig = HttpDecoderConfig()) : HttpResponseDecoder(config) {
    /** Whether the response expected is to a HEAD request, and has no body whatever its headers say. */
    public var respondsToHead: Boolean = false

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status, reason) = initialLine
        ResponseHeadGrammar.checkStatusLine(version, status, reason)
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = respondsToHead || super.isContentAlwaysEmpty(msg)
}
