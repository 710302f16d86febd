package io.apricotslip.wire

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Forwards connections to port [targetPort]. [silenceOpenConnections] simulates half-open connections: the existing
 * ones stay open but deliver nothing any more, while new ones work.
 */
internal class SilentRelay(private val targetPort: Int) : AutoCloseable {
    private inner class Pipe(val from: Socket, val to: Socket) {
        @Volatile
        var silent = false

        fun run() {
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0 && !silent) to.shutdownOutput()
                if (count < 0) return
                if (!silent) to.getOutputStream().write(buffer, 0, count)
            }
        }
    }

    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val pipes = CopyOnWriteArrayList<Pipe>()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) runCatching { connect(server.accept()) }
        }
    }

    fun silenceOpenConnections() = pipes.forEach { it.silent = true }

    override fun close() {
        server.close()
        pipes.forEach { it.from.close() }
    }

    private fun connect(from: Socket) {
        val to = Socket("127.0.0.1", targetPort)
        listOf(Pipe(from, to), Pipe(to, from)).forEach {
            pipes += it
            thread(isDaemon = true) { runCatching { it.run() } }
        }
    }

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 65_536
    }
}
