package io.apricotslip.gateway.server

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerEntry
import io.apricotslip.serving.published.StorePosition
import io.apricotslip.serving.reach.ServerReach
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotSameInstanceAs
import strikt.assertions.isSameInstanceAs
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Guards against a request on a connection that holds what a server has sent before the request (MIXED). */
class ServerConnectionPoolTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()

    @AfterEach
    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync()
    }

    /** A server that the test plays by hand, and a pool before it. */
    private inner class Scene(val reach: ServerReach = ServerReach()) : AutoCloseable {
        val listening = ServerSocket(0, 10, InetAddress.getByName("127.0.0.1")).apply { soTimeout = 5_000 }
        val strays = ArrayList<String>()
        val pool =
            ServerConnectionPool(Connector(loop), { System.nanoTime() / 1_000_000 }, reach) { _, reason ->
                strays +=
                    reason
            }
        val server = Server(
            ServerEntry(
                id = BackendServerId("e"),
                service = ServiceId("s"),
                host = "127.0.0.1",
                port = listening.localPort,
                zone = ZoneId("z"),
                startedAtMillis = 1,
                requestSlots = 8,
            ),
            StorePosition(0, 1),
            now = 0,
        )

        override fun close() = listening.close()

        /** A connection that has carried a request, with its end at the server. */
        fun idleConnection(): Pair<HttpConnection, Socket> {
            val (connection, accepted) = connection()
            exchange(connection, accepted)
            return connection to accepted
        }

        /** A new connection, with its end at the server. */
        fun connection(): Pair<HttpConnection, Socket> = acquire() to listening.accept()

        fun acquire(exclusive: Boolean = false, limit: Int = 8, before: () -> Unit = {}): HttpConnection {
            val acquired = CompletableFuture<HttpConnection>()
            loop.execute {
                before()
                pool.acquire(server, limit, earlyExpiry = true, exclusive = exclusive) { connection, failure ->
                    if (connection == null) acquired.completeExceptionally(IllegalStateException(failure))
                    acquired.complete(connection)
                }
            }
            return acquired.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        }

        fun exchange(connection: HttpConnection, accepted: Socket) {
            val ended = CompletableFuture<String>()
            loop.execute {
                connection.send(HttpMethod.GET, "/", DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, Listener(ended))
            }
            val reader = accepted.getInputStream().bufferedReader()
            generateSequence { reader.readLine().takeIf { it.isNotEmpty() } }.count()
            accepted.getOutputStream().write(RESPONSE.toByteArray())
            expectThat(ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("complete")
            loop.submit {}.get()
        }
    }

    /** What the server does with an idle connection while the event loop is busy. */
    private class Case(val name: String, val reused: Boolean, val strays: Int, val action: (Socket) -> Unit)

    private val cases = listOf(
        Case("nothing", reused = true, strays = 0) {},
        Case("sends a byte", reused = false, strays = 1) { it.getOutputStream().write('H'.code) },
        Case("sends a response", reused = false, strays = 1) { it.getOutputStream().write(RESPONSE.toByteArray()) },
        Case("closes it", reused = false, strays = 0) { it.close() },
        Case("resets it", reused = false, strays = 0) {
            it.setSoLinger(true, 0)
            it.close()
        },
    )

    @TestFactory
    fun `a connection that a server used or closed while the event loop was busy is not reused`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            Scene().use { scene ->
                val (connection, accepted) = scene.idleConnection()
                val acquired = scene.acquire {
                    case.action(accepted)
                    Thread.sleep(ARRIVAL_MILLIS)
                }
                expectThat(acquired === connection).describedAs("reused").isEqualTo(case.reused)
                expectThat(scene.strays.size).describedAs("strays").isEqualTo(case.strays)
                expectThat(acquired.open).isEqualTo(true)
            }
        }
    }

    @Test
    fun `an exclusive request gets a new connection, which is not reused, also at the limit`() {
        Scene().use { scene ->
            val (connection, _) = scene.idleConnection()
            val exclusive = scene.acquire(exclusive = true, limit = 1)
            expectThat(exclusive).isNotSameInstanceAs(connection)
            scene.exchange(exclusive, scene.listening.accept())
            expectThat(exclusive.open).isEqualTo(false)
        }
    }

    @Test
    fun `two exclusive requests in one turn of the event loop both get a connection at the limit`() {
        Scene().use { scene ->
            val (first, firstEnd) = scene.connection()
            val (second, secondEnd) = scene.connection()
            scene.exchange(first, firstEnd)
            scene.exchange(second, secondEnd)
            val ahead = ArrayList<String?>()
            scene.acquire(exclusive = true, limit = 2) {
                scene.pool.acquire(scene.server, 2, earlyExpiry = true, exclusive = true) { _, failure ->
                    ahead +=
                        failure
                }
            }
            loop.submit {}.get()
            expectThat(ahead.toList()).isEqualTo(listOf(null))
        }
    }

    @Test
    fun `an exclusive request that is refused a new connection closes no idle one`() {
        Scene().use { scene ->
            val (connection, _) = scene.idleConnection()
            loop.submit {
                listOf("a", "b").forEach { scene.reach.recordRefused(BackendServerId(it)) }
                scene.reach.tick(System.nanoTime() / 1_000_000, othersReach = true)
            }.get()
            val failures = ArrayList<String?>()
            loop.submit {
                scene.pool.acquire(scene.server, 1, earlyExpiry = true, exclusive = true) { _, failure ->
                    failures +=
                        failure
                }
            }.get()
            expectThat(failures.toList()).isEqualTo(listOf(ServerConnectionPool.NEW_CONNECTIONS_REFUSED))
            expectThat(connection.open).describedAs("idle connection open").isEqualTo(true)
        }
    }

    @Test
    fun `other requests share a connection`() {
        Scene().use { scene ->
            val (connection, _) = scene.idleConnection()
            expectThat(scene.acquire()).isSameInstanceAs(connection)
        }
    }

    private class Listener(private val ended: CompletableFuture<String>) : ResponseListener {
        override fun onHead(response: HttpResponse) = true

        override fun onBody(bytes: ByteBuf) = Unit

        override fun onComplete() {
            ended.complete("complete")
        }

        override fun onFailure(reason: String) {
            ended.complete(reason)
        }
    }

    private companion object {
        const val RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        const val TIMEOUT_SECONDS = 5L

        /** Longer than bytes take over loopback. */
        const val ARRIVAL_MILLIS = 50L
    }
}
