package io.apricotslip.backends.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.LineBasedFrameDecoder

/** Splits a body that arrives in chunks into lines of at most [maxBytes]; lines may span chunks. */
internal class LineSplitter(maxBytes: Int) {
    private val decoder = EmbeddedChannel(LineBasedFrameDecoder(maxBytes))

    /**
     * Returns the lines that [chunk] completes.
     *
     * @throws io.netty.handler.codec.TooLongFrameException when a line exceeds the limit.
     */
    fun split(chunk: ByteArray): List<String> {
        decoder.writeInbound(Unpooled.wrappedBuffer(chunk))
        return generateSequence { decoder.readInbound<ByteBuf>() }
            .map { it.readAndRelease() }
            .toList()
    }

    private fun ByteBuf.readAndRelease(): String {
        val text = toString(Charsets.UTF_8)
        release()
        return text
    }
}
