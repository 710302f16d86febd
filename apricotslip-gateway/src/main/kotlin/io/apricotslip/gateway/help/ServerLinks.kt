package io.apricotslip.gateway.help

import io.apricotslip.gateway.order.OrderCoordinator
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.serving.fleet.Fleet

/** Acts on what this node believes of its links to backend servers. */
internal class ServerLinks(
    private val help: FleetHelp,
    private val prober: ServerProber,
    private val fleet: Fleet,
    private val pool: ServerConnectionPool,
    private val orders: OrderCoordinator,
) {
    private var cutOff = false

    fun tick() {
        prober.probe(help.tick())
        if (help.reach.isCutOff == cutOff) return
        cutOff = !cutOff
        if (cutOff) onCutOff() else onReachedAgain()
    }

    /** A node that reaches servers must be able to claim them, as this one can give them no orders. */
    private fun onCutOff() = orders.releaseAll()

    /** What this node believes of servers and connections comes from the time without links. */
    private fun onReachedAgain() {
        pool.closeIdle()
        fleet.all.forEach { it.health.endBackoff() }
    }
}
