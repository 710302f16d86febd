package io.apricotslip.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.AsciiString

/**
 * Decodes responses, and refuses heads and trailers that HTTP does not allow: the decoder result of such a message is a
 * failure with a [MalformedHeadException].
 *
 * Each part is checked as it was received. Netty parses a status to a number and ends the name of a field at a blank,
 * and no check of the parsed message could tell what was left out.
 */
public open class StrictResponseDecoder(config: HttpDecoderConfig = HttpDecoderConfig()) : HttpResponseDecoder(config) {
    /** Whether the response expected is to a HEAD request, and has no body whatever its headers say. */
    public var respondsToHead: Boolean = false

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status, reason) = initialLine
        ResponseHeadGrammar.checkStatusLine(version, status, reason)
        return super.createMessage(initialLine)
    }

    override fun splitHeaderName(sb: ByteArray, start: Int, length: Int): AsciiString {
        ResponseHeadGrammar.checkFieldName(sb, start, length)
        return super.splitHeaderName(sb, start, length)
    }

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = respondsToHead || super.isContentAlwaysEmpty(msg)
}
