package io.apricotslip.core.http

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/**
 * Closes a connection whose request could not be parsed only after the caller has had time to read the refusal: closing
 * with unread bytes resets the connection, and the refusal may be lost.
 */
internal class LingeringClose : ChannelDuplexHandler() {
    private var unparsed = false
    private var lingering = false

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (lingering) {
            ReferenceCountUtil.release(msg)
            return
        }
        if (msg is HttpObject && msg.decoderResult().isFailure) unparsed = true
        ctx.fireChannelRead(msg)
    }

    override fun close(ctx: ChannelHandlerContext, promise: ChannelPromise) {
        val channel = ctx.channel() as? DuplexChannel
        val lingers = unparsed && !lingering
        if (channel == null || !lingers || !channel.isActive) {
            ctx.close(promise)
            return
        }
        lingering = true
        channel.shutdownOutput()
        channel.config().isAutoRead = true
        ctx.executor().schedule({ ctx.close(promise) }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Many round trips to a caller. */
        const val LINGER_MILLIS = 500L
    }
}
