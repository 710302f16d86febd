package io.apricotslip.gateway.server

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpDecoderConfig
import jdk.net.ExtendedSocketOptions

/** Opens connections to HTTP servers on the one event loop of the process. */
public class Connector(private val loop: EventLoop, private val connectMillis: Int = CONNECT_MILLIS) {
    /** Opens a connection and hands [link] over, or the reason why there is none. */
    public fun open(host: String, port: Int, link: HttpConnection, done: (failure: String?) -> Unit) {
        val bootstrap = Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES)
            .handler(Initializer(link))
        bootstrap.connect(host, port).addListener {
            done(if (it.isSuccess) null else it.cause().message ?: it.cause().javaClass.simpleName)
        }
    }

    private class Initializer(private val link: HttpConnection) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(codec(), link)
        }

        private fun codec() = HttpClientCodec(
            HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setInitialBufferSize(HEADER_BUFFER_BYTES),
            false,
            false,
        )
    }

    private companion object {
        /** Many round trips between zones; a lost opening packet is sent again only after seconds. */
        const val CONNECT_MILLIS = 400

        /** Seconds without a byte before a connection is probed, and between probes; whole seconds are the finest. */
        const val PROBE_SECONDS = 1
        const val PROBES = 2
        const val MAX_HEADER_BYTES = 32_768
        const val HEADER_BUFFER_BYTES = 512
    }
}
