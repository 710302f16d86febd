package io.apricotslip.testutils.relay

import java.io.IOException
import java.net.Socket
import kotlin.concurrent.thread

/** One connection through a relay: two sockets and a pump for each direction. */
internal class RelayConnection(private val near: Socket, private val far: Socket) : AutoCloseable {
    private val gates = RelayDirection.entries.associateWith { Gate() }

    /** First bytes from the side that opened the connection; empty until they came. */
    @Volatile
    var opening: ByteArray = ByteArray(0)
        private set

    val isOpen: Boolean get() = !near.isClosed && !far.isClosed

    fun set(direction: RelayDirection, flow: Gate.Flow) = gates.getValue(direction).set(flow)

    /** Starts the pumps; [onOpening] is called before the first bytes go on. */
    fun start(onOpening: (RelayConnection) -> Unit) {
        pump(near, far, RelayDirection.FORWARD) { bytes ->
            if (opening.isEmpty()) {
                opening = bytes
                onOpening(this)
            }
        }
        pump(far, near, RelayDirection.BACKWARD) {}
    }

    override fun close() {
        listOf(near, far).forEach { runCatching { it.close() } }
    }

    private fun pump(from: Socket, to: Socket, direction: RelayDirection, onBytes: (ByteArray) -> Unit) {
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
            if (count < 0) return end(to, gate)
            onBytes(buffer.copyOf(count))
            if (gate.await()) to.getOutputStream().write(buffer, 0, count)
        }
    }

    /** The end of a stream is passed on only where bytes would be. */
    private fun end(to: Socket, gate: Gate) {
        if (gate.await()) to.shutdownOutput()
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
    }
}
