package io.apricotslip.wire.link

import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import io.apricotslip.api.time.Ticker
import io.apricotslip.wire.LinkOptions
import io.apricotslip.wire.frame.FrameException
import io.apricotslip.wire.frame.Hello
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import java.util.concurrent.atomic.AtomicLong

/** Exchanges hellos on new connections and has [links] serve the resulting links. */
internal class Handshaker(
    private val self: VmId,
    private val incarnation: Incarnation,
    private val build: String,
    private val options: LinkOptions,
    private val ticker: Ticker,
    private val links: LinkTable,
) {
    private val lastLinkNumber = AtomicLong()

    /**
     * Exchanges hellos on [connection], calls [onHelloAccepted], and serves the link until it ends. Throws
     * [FrameException] if the peer's hello is late, missing or incompatible, or if [expected] is given and the peer has
     * another name.
     */
    suspend fun serve(connection: Connection, expected: VmId?, onHelloAccepted: () -> Unit) {
        try {
            val hello = exchangeHello(connection)
            if (expected != null && hello.vm != expected) throw FrameException("peer calls itself ${hello.vm}")
            onHelloAccepted()
            links.serve(Link(hello, connection, options, ticker))
        } finally {
            connection.close()
        }
    }

    private suspend fun exchangeHello(connection: Connection): Hello = try {
        withTimeout(options.connectTimeoutMillis) { connection.exchangeHello(ownHello()) }
    } catch (e: TimeoutCancellationException) {
        throw FrameException("no hello within ${options.connectTimeoutMillis} ms", e)
    }

    private fun ownHello() = Hello(
        magic = Hello.MAGIC,
        protocol = Hello.PROTOCOL,
        oldestProtocol = Hello.OLDEST_PROTOCOL,
        vm = self,
        incarnation = incarnation,
        linkNumber = lastLinkNumber.incrementAndGet(),
        build = build,
    )
}
