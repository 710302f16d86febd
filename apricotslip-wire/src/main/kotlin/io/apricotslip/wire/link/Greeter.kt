package io.apricotslip.wire.link

import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import io.apricotslip.api.time.Ticker
import io.apricotslip.wire.LinkOptions
import io.apricotslip.wire.frame.FrameException
import io.apricotslip.wire.frame.Hello
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeout
import org.tinylog.kotlin.Logger
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

    /** Exchanges hellos on [connection] and serves the link; logs why when the hello is not acceptable. */
    suspend fun serve(connection: Connection, expected: VmId? = null, onGreeted: () -> Unit = {}) {
        try {
            val hello = greet(connection, expected)
            onGreeted()
            if (hello != null) table.serve(Link(hello, connection, options, ticker))
        } finally {
            connection.close()
        }
    }

    private suspend fun greet(connection: Connection, expected: VmId?): Hello? = try {
        val hello = withTimeout(options.connectMillis) { connection.greet(ownHello()) }
        if (expected != null && hello.vm != expected) throw FrameException("peer calls itself ${hello.vm}")
        hello
    } catch (e: Exception) {
        currentCoroutineContext().ensureActive()
        val peer = expected?.value ?: connection.remote
        Logger.warn { "event=hello_failed step=hello peer=$peer reason=\"${e.message}\"" }
        null
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
