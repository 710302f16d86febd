package io.apricotslip.gateway.caller

import io.apricotslip.gateway.buffer.FairReads
import io.apricotslip.serving.state.CallerLimits
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpHeaders
import org.tinylog.kotlin.Logger

/**
 * HTTP server for callers on the single event loop of the process.
 *
 * @param maxConnections maximum number of caller connections; further ones are closed at once.
 * @param maxBodyBytes maximum memory for the bodies of all requests in progress.
 * @param requestId reads the id from the headers of a request or of its response; null if they have none.
 */
public class CallerServer(
    private val loop: EventLoop,
    handler: CallerHandler,
    private val limits: () -> CallerLimits,
    private val now: () -> Long,
    private val maxConnections: Int,
    maxBodyBytes: Long,
    requestId: (HttpHeaders) -> String? = { null },
) {
    private val context = CallerContext(handler, limits, now, maxBodyBytes, requestId)
    private var serverChannel: Channel? = null

    /** Number of open connections. */
    public val connections: Int
        get() = context.size

    /** Starts to listen and blocks until the socket is bound; returns the port. */
    public fun start(host: String, port: Int): Int {
        val channel = ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, FairReads.allocator())
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES),
            )
            .childHandler(ConnectionInitializer())
            .bind(host, port)
            .sync()
            .channel()
        serverChannel = channel
        return (channel.localAddress() as java.net.InetSocketAddress).port
    }

    /** Closes connections that were idle for too long and refuses requests that take too long to arrive. */
    public fun closeExpired() {
        val now = now()
        context.forEach { it.closeExpired(now) }
    }

    /**
     * Lets each response announce the close of its connection unless further requests were received on it. Idle
     * connections stay open until [closeIdle], because requests may be on their way on them.
     */
    public fun drain() {
        context.draining = true
    }

    /** Stops listening, closes the connections that have been idle for a while and the others after their response. */
    public fun closeIdle() {
        context.closing = true
        serverChannel?.close()
        val now = now()
        context.forEach { it.closeIfIdle(now) }
    }

    /** Closes all connections. */
    public fun close() {
        serverChannel?.close()
        context.forEach { it.abort() }
    }

    private inner class ConnectionInitializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            if (context.size >= maxConnections) {
                Logger.warn { "event=caller_connection_refused connections=${context.size}" }
                channel.close()
                return
            }
            val encoder = CallerEncoder()
            channel.pipeline().addLast(
                CallerDecoder(limits().maxHeaderBytes),
                encoder,
                CallerConnection(context, encoder),
            )
        }
    }

    private companion object {
        const val ACCEPT_BACKLOG = 1_024

        /** Bytes buffered for a slow caller at which reading from its backend server pauses. */
        const val HIGH_WATER_MARK_BYTES = 131_072
        const val LOW_WATER_MARK_BYTES = 32_768
    }
}
