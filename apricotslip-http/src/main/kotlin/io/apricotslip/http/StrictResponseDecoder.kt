package io.apricotslip.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
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

    private val headBytes = HeadByteCheck()

    /** Whether the next bytes belong to a head. */
    private var inHead = true
    private var refused = false

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (refused) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        val start = buffer.readerIndex()
        val decodedBefore = out.size
        super.decode(ctx, buffer, out)
        if (inHead) headBytes.check(buffer, start, buffer.readerIndex() - start)
        for (i in decodedBefore until out.size) onDecoded(out[i])
    }

    private fun onDecoded(message: Any) {
        if (message is HttpResponse) {
            headBytes.forbidden?.let { refuse(message, it) }
            headBytes.reset()
        }
        inHead = message is LastHttpContent
    }

    /** Refuses [response]; what follows its head is dropped, as Netty does after a head that it can't parse. */
    private fun refuse(response: HttpResponse, byte: Byte) {
        refused = true
        if (response.decoderResult().isSuccess) {
            response.decoderResult = DecoderResult.failure(ResponseHeadGrammar.controlByte(byte))
        }
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status) = initialLine
        ResponseHeadGrammar.checkStatusLine(version, status)
        return super.createMessage(initialLine)
    }

    override fun splitHeaderName(sb: ByteArray, start: Int, length: Int): AsciiString {
        ResponseHeadGrammar.checkFieldName(sb, start, length)
        return super.splitHeaderName(sb, start, length)
    }

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = respondsToHead || super.isContentAlwaysEmpty(msg)
}
