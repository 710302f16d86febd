package io.apricotslip.gateway.caller

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Reads requests of callers. A message with two statements of its length is refused, so that nothing can hide in it.
 */
internal class CallerDecoder(maxHeaderBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxInitialLineLength(maxHeaderBytes)
            .setInitialBufferSize(HEADER_BUFFER_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("two statements of the length of a body")

    private companion object {
        const val HEADER_BUFFER_BYTES = 512
    }
}
