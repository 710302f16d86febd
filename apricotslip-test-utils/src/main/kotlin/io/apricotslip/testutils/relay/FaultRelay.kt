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
 * Relays TCP connections on loopback to [target] and injects network faults; needs no privileges.
 *
 * Faults apply to all connections or, if `from` is given, to those whose first bytes identify that source.
 *
 * @property target address that new connections are relayed to; changes when the process behind it is replaced.
 * @param identifySource returns the name of the peer that opened a connection from its first bytes, or null if unknown.
 */
public class FaultRelay(
    @Volatile public var target: InetSocketAddress,
    private val identifySource: (ByteArray) -> String? = { null },
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<RelayConnection>()
    private val rules = CopyOnWriteArrayList<Rule>()

    /** Port that clients connect to instead of the target's. */
    public val port: Int get() = server.localPort

    init {
        thread(isDaemon = true, name = "relay-$port") { acceptAll() }
    }

    /** Clears all faults; connections that were set to discard bytes stay silent. */
    public fun heal() {
        rules.clear()
        connections.forEach { c -> RelayDirection.entries.forEach { c.set(it, Gate.Flow.Pass) } }
    }

    /** Closes open connections, and new ones as soon as they are accepted, until [heal]. */
    public fun disconnect(from: String? = null): Unit = add(Rule(from, Rule.Fault.Disconnect))

    /** Holds bytes back until [heal] and then delivers them, as after an outage shorter than the TCP timeouts. */
    public fun hold(directions: Set<RelayDirection> = RelayDirection.entries.toSet(), from: String? = null): Unit =
        add(Rule(from, Rule.Fault.SetFlow(directions, Gate.Flow.Hold)))

    /** Discards all bytes in [direction]: on open connections permanently, and on connections opened until [heal]. */
    public fun drop(direction: RelayDirection, from: String? = null): Unit =
        add(Rule(from, Rule.Fault.SetFlow(setOf(direction), Gate.Flow.Discard)))

    /** Delays each chunk of bytes by [time] until [heal]. */
    public fun delay(time: Duration, from: String? = null): Unit =
        add(Rule(from, Rule.Fault.SetFlow(RelayDirection.entries.toSet(), Gate.Flow.Delay(time))))

    /** Makes open connections permanently silent, like half-open connections; new connections work. */
    public fun silence(from: String? = null) {
        val rule = Rule(from, Rule.Fault.SetFlow(RelayDirection.entries.toSet(), Gate.Flow.Discard))
        connections.forEach { apply(rule, it) }
    }

    /** Returns the number of open connections. */
    public fun openConnectionCount(): Int = connections.count { it.isOpen }

    override fun close() {
        server.close()
        connections.forEach(RelayConnection::close)
    }

    private fun add(rule: Rule) {
        rules += rule
        connections.forEach { apply(rule, it) }
    }

    private fun apply(rule: Rule, connection: RelayConnection) {
        if (rule.from != null && rule.from != identifySource(connection.firstBytes)) return
        when (val fault = rule.fault) {
            is Rule.Fault.Disconnect -> connection.close()
            is Rule.Fault.SetFlow -> fault.directions.forEach { connection.set(it, fault.flow) }
        }
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            val client =
                try {
                    server.accept()
                } catch (e: IOException) {
                    return
                }
            relay(client)
        }
    }

    private fun relay(client: Socket) {
        connections.removeIf { !it.isOpen }
        if (rules.any { it.from == null && it.fault is Rule.Fault.Disconnect }) return client.close()
        try {
            val upstream = Socket(target.address, target.port)
            listOf(client, upstream).forEach { it.tcpNoDelay = true }
            val connection = RelayConnection(client, upstream)
            connections += connection
            rules.filter { it.from == null }.forEach { apply(it, connection) }
            connection.start { c -> rules.forEach { apply(it, c) } }
        } catch (e: IOException) {
            client.close()
        }
    }

    private class Rule(val from: String?, val fault: Fault) {
        sealed class Fault {
            data object Disconnect : Fault()

            class SetFlow(val directions: Set<RelayDirection>, val flow: Gate.Flow) : Fault()
        }
    }

    private companion object {
        const val BACKLOG = 256
    }
}
