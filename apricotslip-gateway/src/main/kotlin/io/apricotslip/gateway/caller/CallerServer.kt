package io.apricotslip.gateway.caller

import io.apricotslip.serving.state.CallerLimits
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import org.tinylog.kotlin.Logger

/**
 * Listens for callers on the one event loop of the process.
 *
 * @param maxConnections connections of callers; those beyond are closed at once.
 * @param maxBodyBytes memory for bodies of all requests under way.
 */
public class CallerServer(
    private val loop: EventLoop,
    handler: CallerHandler,
    private val limits: () -> CallerLimits,
    private val now: () -> Long,
    private val maxConnections: Int,
    maxBodyBytes: Long,
) {
    private val context = CallerContext(handler, limits, now, maxBodyBytes)
    private var listening: Channel? = null

    /** Open connections. */
    public val connections: Int
        get() = context.size

    /** Starts to listen; blocks until it does. Returns the port. */
    public fun start(host: String, port: Int): Int {
        val channel = ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(LOW_BYTES, HIGH_BYTES))
            .childHandler(Initializer())
            .bind(host, port)
            .sync()
            .channel()
        listening = channel
        return (channel.localAddress() as java.net.InetSocketAddress).port
    }

    /** Closes connections that are idle or too slow. */
    public fun check() {
        val at = now()
        context.each { it.check(at) }
    }

    /** Answers what is under way, and asks callers to close; [hard] closes what is idle, and stops to listen. */
    public fun drain(hard: Boolean) {
        if (hard) listening?.close()
        context.each { it.drain(hard) }
    }

    /** Closes all connections. */
    public fun close() {
        listening?.close()
        context.each { it.abort() }
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            if (context.size >= maxConnections) {
                Logger.warn { "event=caller_connection_refused connections=${context.size}" }
                channel.close()
                return
            }
            channel.pipeline().addLast(
                CallerDecoder(limits().maxHeaderBytes),
                HttpResponseEncoder(),
                CallerConnection(context),
            )
        }
    }

    private companion object {
        const val BACKLOG = 1_024

        /** Bytes that wait for a slow caller before its backend server is not read any more. */
        const val HIGH_BYTES = 131_072
        const val LOW_BYTES = 32_768
    }
}
