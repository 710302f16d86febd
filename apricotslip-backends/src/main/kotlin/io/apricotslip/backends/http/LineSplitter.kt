package io.apricotslip.backends.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.LineBasedFrameDecoder

/** Splits a body that arrives in parts into lines of at most [maxBytes], however the parts are cut. */
internal class LineSplitter(maxBytes: Int) {
    private val decoder = EmbeddedChannel(LineBasedFrameDecoder(maxBytes))

    /** Lines that [part] completes; throws [io.netty.handler.codec.TooLongFrameException] for one beyond the limit. */
    fun split(part: ByteArray): List<String> {
        decoder.writeInbound(Unpooled.wrappedBuffer(part))
        return generateSequence { decoder.readInbound<ByteBuf>() }
            .map { it.toText() }
            .toList()
    }

    private fun ByteBuf.toText(): String {
        val text = toString(Charsets.UTF_8)
        release()
        return text
    }
}
