package io.apricotslip.wire

import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import io.apricotslip.wire.frame.Frame
import io.apricotslip.wire.frame.FrameCodec
import io.apricotslip.wire.frame.Hello
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.net.Socket

/** A peer whose bytes the test controls. */
internal class RawPeer(port: Int) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port)
    private val input = DataInputStream(socket.getInputStream())
    private val output = DataOutputStream(socket.getOutputStream())

    fun send(bytes: ByteArray) {
        output.write(bytes)
        output.flush()
    }

    fun send(frame: Frame) = send(frameBytes(FrameCodec.encode(frame)))

    fun receive(): Frame = FrameCodec.decode(input.readNBytes(input.readInt()))

    /** Reads until the node closes this connection, and returns true then. */
    fun isClosedByNode(): Boolean = try {
        input.readAllBytes()
        true
    } catch (e: IOException) {
        true
    }

    /** Writes without reading until the connection fails because the node closed it, and returns true then. */
    fun isResetByNode(): Boolean = try {
        while (true) output.write(ByteArray(CHUNK_BYTES))
        false
    } catch (e: IOException) {
        true
    }

    fun shutdownOutput() = socket.shutdownOutput()

    override fun close() = socket.close()

    companion object {
        private const val CHUNK_BYTES = 65_536

        /** [content] with its length in front, as on the wire. */
        fun frameBytes(content: ByteArray): ByteArray = byteArrayOf(
            (content.size shr 24).toByte(),
            (content.size shr 16).toByte(),
            (content.size shr 8).toByte(),
            content.size.toByte(),
        ) + content

        fun hello(
            name: String,
            incarnation: Long = 1,
            linkNumber: Long = 1,
            protocol: Int = Hello.PROTOCOL,
            magic: String = Hello.MAGIC,
        ) = Frame(hello = Hello(magic, protocol, protocol, VmId(name), Incarnation(incarnation), linkNumber, "test"))
    }
}
