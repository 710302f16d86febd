package io.apricotslip.backends.http

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Records the requests and calls [handler] for each, which writes raw bytes to the socket, valid HTTP or not. */
internal class RawServer(private val handler: (Socket, Request) -> Unit) : AutoCloseable {
    class Request(val line: String, val headers: Map<String, String>, val body: String)

    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val openSockets = CopyOnWriteArrayList<Socket>()
    val requests = CopyOnWriteArrayList<Request>()
    private val receivedRequests = LinkedBlockingQueue<Request>()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    /** Waits for the next request that [matches]. */
    fun next(matches: (Request) -> Boolean): Request {
        while (true) {
            val request =
                checkNotNull(receivedRequests.poll(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "no such request" }
            if (matches(request)) return request
        }
    }

    override fun close() {
        server.close()
        openSockets.forEach { it.close() }
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: return
            openSockets += socket
            thread(isDaemon = true) { runCatching { serve(socket) } }
        }
    }

    private fun serve(socket: Socket) {
        while (true) {
            val request = readRequest(socket.getInputStream()) ?: return
            requests += request
            receivedRequests += request
            handler(socket, request)
        }
    }

    private fun readRequest(input: InputStream): Request? {
        val first = readLine(input) ?: return null
        val headers = generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = input.readNBytes(headers["content-length"]?.toInt() ?: 0).decodeToString()
        return Request(first, headers, body)
    }

    private fun readLine(input: InputStream): String? {
        val text = StringBuilder()
        while (true) {
            val c = input.read()
            if (c < 0) return null
            if (c == '\n'.code) return text.trimEnd('\r').toString()
            text.append(c.toChar())
        }
    }

    companion object {
        private const val BACKLOG = 50

        /** Long enough that only a hanging test reaches it. */
        private const val REQUEST_TIMEOUT_SECONDS = 30L

        /** Writes [text] and flushes. */
        fun Socket.send(text: String) {
            getOutputStream().write(text.encodeToByteArray())
            getOutputStream().flush()
        }

        /** Sends a complete response. */
        fun Socket.answer(status: Int, body: String) =
            send("HTTP/1.1 $status X\r\nContent-Length: ${body.encodeToByteArray().size}\r\n\r\n$body")

        /** Sends the headers of an event stream and [lines] as its events; the connection stays open. */
        fun Socket.stream(vararg lines: String) {
            send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            lines.forEach { send("data: $it\n\n") }
        }
    }
}

/** A port on which no process listens. */
internal fun freePort(): Int = ServerSocket(0).use { it.localPort }
