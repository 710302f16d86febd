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

/** Exchanges hellos on new connections and hands the links to [table]. */
internal class Greeter(
    private val self: VmId,
    private val incarnation: Incarnation,
    private val build: String,
    private val options: LinkOptions,
    private val ticker: Ticker,
    private val table: LinkTable,
) {
    private val links = AtomicLong()

    /**
     * Exchanges hellos on [connection] and serves the link until it ends. Throws when the hello is not acceptable, or
     * not that of [expected]; calls [onGreeted] when it is.
     */
    suspend fun serve(connection: Connection, expected: VmId?, onGreeted: () -> Unit) {
        try {
            val hello = greet(connection)
            if (expected != null && hello.vm != expected) throw FrameException("peer calls itself ${hello.vm}")
            onGreeted()
            table.serve(Link(hello, connection, options, ticker))
        } finally {
            connection.close()
        }
    }

    private suspend fun greet(connection: Connection): Hello = try {
        withTimeout(options.connectMillis) { connection.greet(ownHello()) }
    } catch (e: TimeoutCancellationException) {
        throw FrameException("no hello within ${options.connectMillis} ms", e)
    }

    private fun ownHello() = Hello(
        magic = Hello.MAGIC,
        protocol = Hello.PROTOCOL,
        oldest = Hello.OLDEST,
        vm = self,
        incarnation = incarnation,
        link = links.incrementAndGet(),
        build = build,
    )
}
