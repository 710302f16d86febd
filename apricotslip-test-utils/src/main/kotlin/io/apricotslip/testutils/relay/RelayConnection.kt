package io.apricotslip.testutils.relay

import java.io.IOException
import java.net.Socket
import kotlin.concurrent.thread

/** A relayed connection: a client and an upstream socket, with one copying thread for each direction. */
internal class RelayConnection(private val client: Socket, private val upstream: Socket) : AutoCloseable {
    private val gates = RelayDirection.entries.associateWith { Gate() }

    /** First bytes received from the client; empty until they arrive. */
    @Volatile
    var firstBytes: ByteArray = ByteArray(0)
        private set

    val isOpen: Boolean get() = !client.isClosed && !upstream.isClosed

    fun set(direction: RelayDirection, flow: Gate.Flow) = gates.getValue(direction).set(flow)

    /** Starts copying in both directions; calls [onFirstBytes] before the first client bytes are forwarded. */
    fun start(onFirstBytes: (RelayConnection) -> Unit) {
        startCopying(client, upstream, RelayDirection.FORWARD) { bytes ->
            if (firstBytes.isEmpty()) {
                firstBytes = bytes
                onFirstBytes(this)
            }
        }
        startCopying(upstream, client, RelayDirection.BACKWARD) {}
    }

    override fun close() {
        listOf(client, upstream).forEach { runCatching { it.close() } }
    }

    private fun startCopying(from: Socket, to: Socket, direction: RelayDirection, onBytes: (ByteArray) -> Unit) {
        thread(isDaemon = true, name = "relay-$direction") {
            try {
                copy(from, to, gates.getValue(direction), onBytes)
            } catch (e: IOException) {
                close()
            }
        }
    }

    private fun copy(from: Socket, to: Socket, gate: Gate, onBytes: (ByteArray) -> Unit) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = from.getInputStream().read(buffer)
            if (count < 0) return forwardEnd(to, gate)
            onBytes(buffer.copyOf(count))
            if (gate.await()) to.getOutputStream().write(buffer, 0, count)
        }
    }

    /** Forwards the end of the stream only if the gate would let bytes pass. */
    private fun forwardEnd(to: Socket, gate: Gate) {
        if (gate.await()) to.shutdownOutput()
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
    }
}
