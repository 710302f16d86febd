package io.apricotslip.testutils.relay

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Relays TCP connections on loopback to [target] and makes faults on the way; needs no privileges.
 *
 * Faults act on all connections, or with a `source` on those whose first bytes [source] recognises.
 *
 * @property target where new connections go; may change when the process behind it is replaced.
 * @param source name of the side that opened a connection, from its first bytes; null when unknown.
 */
public class FaultRelay(
    @Volatile public var target: InetSocketAddress,
    private val source: (ByteArray) -> String? = { null },
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<RelayConnection>()
    private val rules = CopyOnWriteArrayList<Rule>()

    /** Port to connect to in place of the target's. */
    public val port: Int get() = server.localPort

    init {
        thread(isDaemon = true, name = "relay-$port") { acceptAll() }
    }

    /** Ends all faults that can end; silenced connections stay silent. */
    public fun heal() {
        rules.clear()
        connections.forEach { c -> RelayDirection.entries.forEach { c.set(it, Gate.Flow.Pass) } }
    }

    /** Closes the connections and closes new ones at once, until [heal]. */
    public fun cut(from: String? = null): Unit = add(Rule(from, Rule.Fault.Cut))

    /** Holds back bytes until [heal]; they arrive late then, as after a cut that TCP outlives. */
    public fun hold(directions: Set<RelayDirection> = RelayDirection.entries.toSet(), from: String? = null): Unit =
        add(Rule(from, Rule.Fault.Slow(directions, Gate.Flow.Hold)))

    /** Discards bytes of [direction] for good, on new connections too until [heal]. */
    public fun drop(direction: RelayDirection, from: String? = null): Unit =
        add(Rule(from, Rule.Fault.Slow(setOf(direction), Gate.Flow.Discard)))

    /** Delays each piece of bytes by [time], until [heal]. */
    public fun delay(time: Duration, from: String? = null): Unit =
        add(Rule(from, Rule.Fault.Slow(RelayDirection.entries.toSet(), Gate.Flow.Delay(time))))

    /** Makes the open connections silent for good; new ones work. */
    public fun silence(from: String? = null) {
        val rule = Rule(from, Rule.Fault.Slow(RelayDirection.entries.toSet(), Gate.Flow.Discard))
        connections.forEach { apply(rule, it) }
    }

    /** Number of open connections. */
    public fun open(): Int = connections.count { it.isOpen }

    override fun close() {
        server.close()
        connections.forEach(RelayConnection::close)
    }

    private fun add(rule: Rule) {
        rules += rule
        connections.forEach { apply(rule, it) }
    }

    private fun apply(rule: Rule, connection: RelayConnection) {
        if (rule.from != null && rule.from != source(connection.opening)) return
        when (val fault = rule.fault) {
            is Rule.Fault.Cut -> connection.close()
            is Rule.Fault.Slow -> fault.directions.forEach { connection.set(it, fault.flow) }
        }
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            val near =
                try {
                    server.accept()
                } catch (e: IOException) {
                    return
                }
            open(near)
        }
    }

    private fun open(near: Socket) {
        connections.removeIf { !it.isOpen }
        if (rules.any { it.from == null && it.fault is Rule.Fault.Cut }) return near.close()
        try {
            val far = Socket(target.address, target.port)
            listOf(near, far).forEach { it.tcpNoDelay = true }
            val connection = RelayConnection(near, far)
            connections += connection
            rules.filter { it.from == null }.forEach { apply(it, connection) }
            connection.start { c -> rules.forEach { apply(it, c) } }
        } catch (e: IOException) {
            near.close()
        }
    }

    private class Rule(val from: String?, val fault: Fault) {
        sealed class Fault {
            data object Cut : Fault()

            class Slow(val directions: Set<RelayDirection>, val flow: Gate.Flow) : Fault()
        }
    }

    private companion object {
        const val BACKLOG = 256
    }
}
