package io.apricotslip.standins.http

import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.ConcurrentHashMap

/** Tracks the open connections of a port and can silence or close them. */
internal class ConnectionGate {
    private val handlers = ConcurrentHashMap.newKeySet<GateHandler>()

    /** Starts to track [channel]. Must be called before anything is read from it. */
    fun admit(channel: Channel) {
        val handler = GateHandler()
        handlers.add(handler)
        channel.closeFuture().addListener { handlers.remove(handler) }
        channel.pipeline().addFirst(handler)
    }

    /**
     * Silences the open connections permanently: they stay open, and nothing passes in either direction, not even a
     * close. Returns the number of connections that were not silent before.
     */
    fun silence(): Int = handlers.count { it.silence() }

    /** Closes the open connections, including the silent ones. */
    fun closeAll() {
        handlers.forEach { it.closeNow() }
    }
}

private class GateHandler : ChannelDuplexHandler() {
    @Volatile
    private var isSilent = false

    @Volatile
    private var context: ChannelHandlerContext? = null

    fun silence(): Boolean {
        val wasPassing = !isSilent
        isSilent = true
        return wasPassing
    }

    fun closeNow() {
        context?.close()
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (isSilent) ReferenceCountUtil.release(msg) else super.channelRead(ctx, msg)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        if (!isSilent) super.channelInactive(ctx)
    }

    override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
        // The promise is never completed, so that the sender stops when its window is full.
        if (isSilent) ReferenceCountUtil.release(msg) else super.write(ctx, msg, promise)
    }

    override fun close(ctx: ChannelHandlerContext, promise: ChannelPromise) {
        if (!isSilent) super.close(ctx, promise)
    }
}
