package io.apricotslip.standins.http

import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.ConcurrentHashMap

/** Knows the open connections of a port and can make them go silent or close them. */
internal class ConnectionGate {
    private val gates = ConcurrentHashMap.newKeySet<GateHandler>()

    /** Adds [channel]; call it before anything is read. */
    fun admit(channel: Channel) {
        val gate = GateHandler()
        gates.add(gate)
        channel.closeFuture().addListener { gates.remove(gate) }
        channel.pipeline().addFirst(gate)
    }

    /** Makes the open connections silent for good: they stay open, and nothing passes either way, not even a close. */
    fun silence(): Int = gates.count { it.silence() }

    /** Closes the open connections, silent ones too. */
    fun closeAll() {
        gates.forEach { it.closeNow() }
    }
}

private class GateHandler : ChannelDuplexHandler() {
    @Volatile
    private var isSilent = false

    @Volatile
    private var context: ChannelHandlerContext? = null

    fun silence(): Boolean {
        val isFirstTime = !isSilent
        isSilent = true
        return isFirstTime
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
        // The promise is left open, so that the sender stops when its window is full.
        if (isSilent) ReferenceCountUtil.release(msg) else super.write(ctx, msg, promise)
    }

    override fun close(ctx: ChannelHandlerContext, promise: ChannelPromise) {
        if (!isSilent) super.close(ctx, promise)
    }
}
