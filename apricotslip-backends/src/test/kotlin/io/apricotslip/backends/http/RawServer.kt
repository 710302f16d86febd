package io.apricotslip.backends.http

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Server that answers each connection with [answer], byte by byte as the test wants; records the requests. */
internal class RawServer(private val answer: (Socket, Request) -> Unit) : AutoCloseable {
    class Request(val line: String, val headers: Map<String, String>, val body: String)

    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val open = CopyOnWriteArrayList<Socket>()
    val requests = CopyOnWriteArrayList<Request>()
    private val arrived = LinkedBlockingQueue<Request>()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    /** The first request that is [wanted], waiting for it. */
    fun next(wanted: (Request) -> Boolean): Request {
        while (true) {
            val request = checkNotNull(arrived.poll(PATIENCE_SECONDS, TimeUnit.SECONDS)) { "no such request" }
            if (wanted(request)) return request
        }
    }

    override fun close() {
        server.close()
        open.forEach { it.close() }
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: return
            open += socket
            thread(isDaemon = true) { runCatching { serve(socket) } }
        }
    }

    private fun serve(socket: Socket) {
        while (true) {
            val request = read(socket.getInputStream()) ?: return
            requests += request
            arrived += request
            answer(socket, request)
        }
    }

    private fun read(input: InputStream): Request? {
        val first = line(input) ?: return null
        val headers = generateSequence { line(input)?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = input.readNBytes(headers["content-length"]?.toInt() ?: 0).decodeToString()
        return Request(first, headers, body)
    }

    private fun line(input: InputStream): String? {
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

        /** Long enough that only a hang reaches it. */
        private const val PATIENCE_SECONDS = 30L

        /** Writes [text] and flushes. */
        fun Socket.say(text: String) {
            getOutputStream().write(text.encodeToByteArray())
            getOutputStream().flush()
        }

        /** A whole answer. */
        fun Socket.answer(status: Int, body: String) =
            say("HTTP/1.1 $status X\r\nContent-Length: ${body.encodeToByteArray().size}\r\n\r\n$body")

        /** A stream of [lines], ended by closing the connection. */
        fun Socket.stream(vararg lines: String) {
            say("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            lines.forEach { say("data: $it\n\n") }
        }
    }
}

/** A port on which nothing listens. */
internal fun freePort(): Int = ServerSocket(0).use { it.localPort }
