package io.apricotslip.wire.link

import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicBoolean

/** Accepts connections and serves them in [scope], with at most [maxHandshakes] of them before their hello. */
internal class Acceptor(
    private val server: ServerSocket,
    private val scope: CoroutineScope,
    private val greeter: Greeter,
    maxHandshakes: Int,
) {
    private val handshakes = Semaphore(maxHandshakes)

    /** Accepts until cancelled. */
    suspend fun run() {
        server.use {
            while (true) {
                handshakes.acquire()
                accept()
            }
        }
    }

    private suspend fun accept() {
        try {
            val socket = server.accept()
            scope.launch { serve(socket) }
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            handshakes.release()
            Logger.error { "event=accept_failed step=accept peer=${server.localAddress} reason=\"${e.message}\"" }
            delay(PAUSE_MILLIS)
        }
    }

    private suspend fun serve(socket: Socket) {
        val released = AtomicBoolean()
        val release = { if (released.compareAndSet(false, true)) handshakes.release() }
        var peer = "unknown"
        try {
            val connection = Connection(socket)
            peer = connection.remote
            greeter.serve(connection, expected = null, onGreeted = release)
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            Logger.warn { "event=hello_failed step=hello peer=$peer reason=\"${e.message}\"" }
        } finally {
            release()
            socket.close()
        }
    }

    private companion object {
        /** Pause after a failed accept, as when the process is out of file descriptors. */
        const val PAUSE_MILLIS = 100L
    }
}
