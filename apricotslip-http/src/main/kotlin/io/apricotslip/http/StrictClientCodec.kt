package io.apricotslip.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass

/**
 * Codec with a [StrictResponseDecoder] for a client that sends one request at a time on a connection and has no use for
 * interim responses, which are dropped.
 */
public class StrictClientCodec private constructor(decoder: StrictResponseDecoder) :
    CombinedChannelDuplexHandler<StrictResponseDecoder, HttpRequestEncoder>(decoder, Encoder(decoder)) {
    private class Encoder(private val decoder: StrictResponseDecoder) : HttpRequestEncoder() {
        override fun encode(ctx: ChannelHandlerContext, msg: Any, out: MutableList<Any>) {
            if (msg is HttpRequest) decoder.respondsToHead = msg.method() == HttpMethod.HEAD
            super.encode(ctx, msg, out)
        }
    }

    private class FinalResponseDecoder : StrictResponseDecoder() {
        override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
            val decodedBefore = out.size
            super.decode(ctx, buffer, out)
            val decoded = out.subList(decodedBefore, out.size)
            val head = decoded.firstOrNull() as? HttpResponse ?: return
            when {
                head.decoderResult().isFailure -> Unit
                head.status() == HttpResponseStatus.SWITCHING_PROTOCOLS ->
                    head.decoderResult =
                        DecoderResult.failure(MalformedHeadException("status 101 without a request for it"))
                head.status().codeClass() == HttpStatusClass.INFORMATIONAL -> decoded.clear()
            }
        }
    }

    public companion object {
        /** Replaces the codec [name] of [pipeline], which holds no bytes yet. */
        public fun install(pipeline: ChannelPipeline, name: String) {
            pipeline.replace(name, name, StrictClientCodec(FinalResponseDecoder()))
        }
    }
}
