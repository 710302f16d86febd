package io.apricotslip.testutils.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

class FaultRelayTest {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private lateinit var relay: FaultRelay

    @BeforeEach
    fun start() {
        thread(isDaemon = true) { runCatching { while (true) echo(server.accept()) } }
        relay =
            FaultRelay(InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)) { it.decodeToString() }
    }

    @AfterEach
    fun stop() {
        (sockets + listOf(relay, server)).forEach { it.close() }
    }

    private fun echo(socket: Socket) {
        sockets += socket
        thread(isDaemon = true) { runCatching { socket.getInputStream().transferTo(socket.getOutputStream()) } }
    }

    private fun connect(): Socket =
        Socket(InetAddress.getLoopbackAddress(), relay.port).also(sockets::add).apply { soTimeout = QUIET_MILLIS }

    /** Sends [text] and reads the echo; null when nothing comes, empty when the connection is closed. */
    private fun Socket.echoed(text: String): String? = try {
        getOutputStream().write(text.toByteArray())
        read(text.length)
    } catch (e: SocketTimeoutException) {
        null
    } catch (e: IOException) {
        ""
    }

    private fun Socket.read(length: Int): String = getInputStream().readNBytes(length).decodeToString()

    @Nested
    inner class `given no fault` {
        @Test
        fun `bytes pass both ways`() = expectThat(connect().echoed("one")).isEqualTo("one").let {}
    }

    @Nested
    inner class `given a cut` {
        @Test
        fun `open connections end and new ones fail until it heals`() {
            val open = connect().also { it.echoed("a") }
            relay.cut()
            expectThat(open.echoed("b")).isEqualTo("")
            expectThat(connect().echoed("c")).isEqualTo("")
            relay.heal()
            expectThat(connect().echoed("d")).isEqualTo("d")
        }

        @Test
        fun `only the named source is cut`() {
            val a = connect().also { it.echoed("a") }
            val b = connect().also { it.echoed("b") }
            relay.cut(from = "a")
            expectThat(a.echoed("x")).isEqualTo("")
            expectThat(b.echoed("y")).isEqualTo("y")
            expectThat(connect().echoed("a")).isEqualTo("")
            expectThat(connect().echoed("b")).isEqualTo("b")
        }
    }

    @Nested
    inner class `given held bytes` {
        @Test
        fun `they arrive late when it heals`() {
            val socket = connect().also { it.echoed("a") }
            relay.hold(setOf(RelayDirection.BACKWARD))
            expectThat(socket.echoed("late")).isEqualTo(null)
            relay.heal()
            expectThat(socket.read(4)).isEqualTo("late")
        }
    }

    @Nested
    inner class `given silence` {
        @Test
        fun `open connections never answer again and new ones work`() {
            val open = connect().also { it.echoed("a") }
            relay.silence()
            expectThat(open.echoed("b")).isEqualTo(null)
            expectThat(connect().echoed("c")).isEqualTo("c")
            relay.heal()
            expectThat(open.echoed("d")).isEqualTo(null)
            expectThat(open.isClosed).isFalse()
        }
    }

    @Nested
    inner class `given one direction dropped` {
        @Test
        fun `new connections lose it too until it heals`() {
            relay.drop(RelayDirection.FORWARD)
            expectThat(connect().echoed("a")).isEqualTo(null)
            relay.heal()
            expectThat(connect().echoed("b")).isEqualTo("b")
            expectThat(relay.open() > 0).isTrue()
        }
    }

    private companion object {
        const val QUIET_MILLIS = 300
    }
}
