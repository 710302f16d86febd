package io.apricotslip.gateway.server

import io.apricotslip.gateway.buffer.FairReads
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions
import java.net.ConnectException

/** Opens connections to HTTP servers on the single event loop of the process. */
public class Connector(
    private val loop: EventLoop,
    private val connectTimeoutMillis: Int = DEFAULT_CONNECT_TIMEOUT_MILLIS,
) {
    /** Connects [connection] to [host] and calls [done] with null, or with the reason for the failure. */
    public fun open(host: String, port: Int, connection: HttpConnection, done: (failure: String?) -> Unit) {
        bootstrap(ConnectionInitializer(connection)).connect(host, port).addListener {
            done(if (it.isSuccess) null else it.cause().message ?: it.cause().javaClass.simpleName)
        }
    }

    /** Calls [done] with whether [host] refuses connections to [port]: the host is up and no process listens there. */
    public fun probe(host: String, port: Int, done: (refused: Boolean) -> Unit) {
        bootstrap(ChannelInboundHandlerAdapter()).connect(host, port).addListener(
            ChannelFutureListener {
                it.channel().close()
                val cause = it.cause()
                done(cause is ConnectException && cause !is ConnectTimeoutException)
            },
        )
    }

    private fun bootstrap(handler: ChannelHandler): Bootstrap = Bootstrap()
        .group(loop)
        .channelFactory(::PeekableSocketChannel)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, FairReads.allocator())
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_PROBE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_PROBE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBE_COUNT)
        .handler(handler)

    private class ConnectionInitializer(private val connection: HttpConnection) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(connection)
        }
    }

    private companion object {
        /** Many round trips between availability zones; a lost SYN is retransmitted only after seconds. */
        const val DEFAULT_CONNECT_TIMEOUT_MILLIS = 400

        /** Idle time before a TCP keepalive probe, and time between probes; whole seconds are the finest unit. */
        const val KEEPALIVE_PROBE_SECONDS = 1
        const val KEEPALIVE_PROBE_COUNT = 2
    }
}
