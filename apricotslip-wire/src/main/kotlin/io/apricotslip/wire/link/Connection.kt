package io.apricotslip.wire.link

import io.apricotslip.wire.frame.Frame
import io.apricotslip.wire.frame.FrameCodec
import io.apricotslip.wire.frame.FrameException
import io.apricotslip.wire.frame.FrameReader
import io.apricotslip.wire.frame.Hello
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt

/** An open socket to a node, before or after the exchange of hellos. */
internal class Connection(private val socket: Socket) {
    private val input = socket.openReadChannel()
    val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)
    val remoteAddress: String = socket.remoteAddress.toString()

    fun reader(onBytesRead: () -> Unit): FrameReader = FrameReader(input, onBytesRead)

    /** Sends [own] and returns the peer's hello; throws [FrameException] if that is missing or incompatible. */
    suspend fun exchangeHello(own: Hello): Hello {
        val content = FrameCodec.encode(Frame(hello = own))
        output.writeInt(content.size)
        output.writeFully(content)
        output.flush()
        val frame = FrameReader(input).read(MAX_HELLO_BYTES) ?: throw FrameException("closed before hello")
        val hello = frame.hello ?: throw FrameException("first frame is not a hello")
        validate(hello)
        return hello
    }

    /**
     * Closes the socket even while a write is blocked on a peer that does not read; after [Socket.close] alone that
     * write would keep the socket open. [Socket.close] must come before the cancellation, because the socket is
     * released when its jobs end.
     */
    fun close() {
        socket.close()
        socket.socketContext.cancel()
    }

    private fun validate(hello: Hello) {
        if (hello.magic != Hello.MAGIC) throw FrameException("wrong magic")
        if (hello.protocol < Hello.OLDEST_PROTOCOL || hello.oldestProtocol > Hello.PROTOCOL) {
            throw FrameException(
                "protocol ${hello.oldestProtocol}..${hello.protocol}, here ${Hello.OLDEST_PROTOCOL}..${Hello.PROTOCOL}",
            )
        }
    }

    private companion object {
        const val MAX_HELLO_BYTES = 4_096
    }
}
