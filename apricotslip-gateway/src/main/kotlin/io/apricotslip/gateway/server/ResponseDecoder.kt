package io.apricotslip.gateway.server

import io.apricotslip.http.StrictResponseDecoder
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig

/**
 * Decodes the responses on a connection to a server.
 *
 * Nothing is parsed while no response is expected: the decoder would keep a part of a message, and the next response
 * would be joined to it.
 *
 * @param expectsResponse whether the next byte may belong to a response.
 * @param onStray receives the number of bytes that belong to no response; they are dropped.
 */
internal class ResponseDecoder(private val expectsResponse: () -> Boolean, private val onStray: (bytes: Int) -> Unit) :
    StrictResponseDecoder(
        HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setInitialBufferSize(HEADER_BUFFER_BYTES),
    ) {
    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (expectsResponse()) return super.decode(ctx, buffer, out)
        val bytes = buffer.readableBytes()
        buffer.skipBytes(bytes)
        if (bytes > 0) onStray(bytes)
    }

    private companion object {
        const val MAX_HEADER_BYTES = 32_768
        const val HEADER_BUFFER_BYTES = 512
    }
}
