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

/** An open socket to a node that may not have said hello yet. */
internal class Connection(private val socket: Socket) {
    private val input = socket.openReadChannel()
    val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)
    val remote: String = socket.remoteAddress.toString()

    fun reader(onBytes: () -> Unit): FrameReader = FrameReader(input, onBytes)

    /** Sends [own] and returns the peer's hello; throws [FrameException] when it is not acceptable. */
    suspend fun greet(own: Hello): Hello {
        val content = FrameCodec.encode(Frame(hello = own))
        output.writeInt(content.size)
        output.writeFully(content)
        output.flush()
        val frame = FrameReader(input).read(MAX_HELLO_BYTES) ?: throw FrameException("closed before hello")
        val hello = frame.hello ?: throw FrameException("first frame is not a hello")
        check(hello)
        return hello
    }

    /**
     * Closes the socket, also while a write waits for a peer that does not read: after [Socket.close] alone that write
     * would keep the socket open. The order counts, since the socket is let go by the end of its jobs.
     */
    fun close() {
        socket.close()
        socket.socketContext.cancel()
    }

    private fun check(hello: Hello) {
        if (hello.magic != Hello.MAGIC) throw FrameException("wrong magic")
        if (hello.protocol < Hello.OLDEST || hello.oldest > Hello.PROTOCOL) {
            throw FrameException("protocol ${hello.oldest}..${hello.protocol}, here ${Hello.OLDEST}..${Hello.PROTOCOL}")
        }
    }

    private companion object {
        const val MAX_HELLO_BYTES = 4_096
    }
}
