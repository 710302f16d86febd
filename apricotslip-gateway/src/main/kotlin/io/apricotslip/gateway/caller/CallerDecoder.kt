package io.apricotslip.gateway.caller

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes the requests of callers.
 *
 * A message with both Content-Length and Transfer-Encoding: chunked is refused, since it could be used for request
 * smuggling.
 */
internal class CallerDecoder(maxHeaderBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxInitialLineLength(maxHeaderBytes)
            .setInitialBufferSize(HEADER_BUFFER_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both Content-Length and Transfer-Encoding: chunked")

    private companion object {
        const val HEADER_BUFFER_BYTES = 512
    }
}
