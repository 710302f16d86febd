package io.apricotslip.cli.command

import io.apricotslip.api.id.VmId
import io.apricotslip.api.operators.EngineRole
import io.apricotslip.api.operators.NodeStatus
import io.apricotslip.api.operators.PeerStatus
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.cli.node.NodeReply
import io.apricotslip.cli.node.OperatorCall
import io.apricotslip.cli.output.Column
import io.apricotslip.cli.output.Table
import io.apricotslip.cli.output.Terminal
import io.apricotslip.cli.output.formatDuration
import io.apricotslip.cli.output.yesNo

/** `apricotslip status`. */
internal class StatusCommand(context: CommandContext) :
    NodesCommand<NodeStatus>(
        context,
        name = "status",
        description = "Show the state of each node, its peers and the engines that it owns",
        call = OperatorCall.Status,
    ) {
    private val nodeTable =
        Table<NodeReply.Answered<NodeStatus>>(
            listOf(
                Column("NODE") { it.node },
                Column("VM") { it.value.vm },
                Column("ZONE") { it.value.zone },
                Column("VERSION") { it.value.version },
                Column("UPTIME") { formatDuration(it.value.uptimeMillis) },
                Column("READY") { yesNo(it.value.notReady.isEmpty()) },
                Column("STOPPING") { yesNo(it.value.stopping) },
                Column("LEASE") { yesNo(it.value.leaseHeld) },
                Column("LIST") { it.value.listRevision },
                Column("TENURED") { it.value.tenuredRevision },
                Column("MANIFEST") { it.value.manifestRevision },
                Column("RUNNING") { it.value.running },
                Column("PEERS UP") { "${it.value.peers.count(PeerStatus::connected)} of ${it.value.peers.size}" },
            ),
        )

    private val engineTable =
        Table<EngineRow>(
            listOf(
                Column("ENGINE") { it.engine.server },
                Column("VM") { it.vm },
                Column("ROLE") { it.engine.role },
                Column("REACHABLE") { yesNo(it.engine.reachable) },
                Column("RUNNING") { it.status?.running },
                Column("BATCH") { it.status?.batch },
                Column("WAITING") { it.status?.waiting },
                Column("LOADS WAITING") { it.status?.waitingLoads },
                Column("FREE SLOTS") { it.status?.freeSlots },
            ),
        )

    override fun printAnswers(answers: List<NodeReply.Answered<NodeStatus>>, terminal: Terminal) {
        nodeTable.print(answers, terminal)
        answers.forEach { (_, status) ->
            status.notReady.forEach { terminal.printLine("${status.vm} is not ready: $it") }
        }
        val rows = answers.flatMap { (_, status) -> engineRows(status) }.sortedBy { it.engine.server }
        if (rows.isEmpty()) return
        terminal.printLine("")
        engineTable.print(rows, terminal)
    }

    override fun isHealthy(answers: List<NodeStatus>): Boolean = answers.all { it.notReady.isEmpty() }

    private fun engineRows(status: NodeStatus): List<EngineRow> =
        status.engines.filter { it.role != NO_ROLE }.map { EngineRow(status.vm, it) }

    private class EngineRow(val vm: VmId, val engine: EngineRole) {
        val status: EngineStatus? get() = engine.status
    }

    private companion object {
        const val NO_ROLE = "none"
    }
}
