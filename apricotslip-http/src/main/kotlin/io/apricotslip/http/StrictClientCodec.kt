package io.apricotslip.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder

/** Codec with a [StrictResponseDecoder] for a client that sends one request at a time on a connection. */
public class StrictClientCodec private constructor(decoder: StrictResponseDecoder) :
    CombinedChannelDuplexHandler<StrictResponseDecoder, HttpRequestEncoder>(decoder, Encoder(decoder)) {
    private class Encoder(private val decoder: StrictResponseDecoder) : HttpRequestEncoder() {
        override fun encode(ctx: ChannelHandlerContext, msg: Any, out: MutableList<Any>) {
            if (msg is HttpRequest) decoder.respondsToHead = msg.method() == HttpMethod.HEAD
            super.encode(ctx, msg, out)
        }
    }

    public companion object {
        /** Replaces the codec [name] of [pipeline], which holds no bytes yet. */
        public fun install(pipeline: ChannelPipeline, name: String) {
            pipeline.replace(name, name, StrictClientCodec(StrictResponseDecoder()))
        }
    }
}
