package io.apricotslip.cli.command

import io.apricotslip.api.operators.FaultAnswer
import io.apricotslip.api.operators.RefusedManifest
import io.apricotslip.cli.node.NodeAddress
import io.apricotslip.cli.node.NodeReply
import io.apricotslip.cli.node.OperatorCall
import io.apricotslip.cli.output.Column
import io.apricotslip.cli.output.Table
import io.apricotslip.cli.output.Terminal
import io.apricotslip.cli.output.formatDuration

/** `apricotslip manifest refused`. */
internal class RefusedCommand(context: CommandContext) :
    NodesCommand<List<RefusedManifest>>(
        context,
        name = "refused",
        description = "Show the manifests that each node refused, newest first, with every fault",
        call = OperatorCall.Refused,
    ) {
    private val table =
        Table<Row>(
            listOf(
                Column("NODE") { it.node },
                Column("PUBLISHED") { it.manifest.publishedRevision },
                Column("SOURCE") { it.manifest.source },
                Column("AGO") { formatDuration(it.manifest.agoMillis) },
                Column("PLACE") { it.fault.path },
                Column("REASON") { it.fault.reason },
            ),
        )

    override fun printAnswers(answers: List<NodeReply.Answered<List<RefusedManifest>>>, terminal: Terminal) {
        if (isHealthy(answers.map { it.value })) return terminal.printLine("No manifest was refused.")
        table.print(answers.flatMap(::rows), terminal)
    }

    override fun isHealthy(answers: List<List<RefusedManifest>>): Boolean = answers.all { it.isEmpty() }

    private fun rows(reply: NodeReply.Answered<List<RefusedManifest>>): List<Row> =
        reply.value.flatMap { manifest -> manifest.faults.map { Row(reply.node, manifest, it) } }

    private class Row(val node: NodeAddress, val manifest: RefusedManifest, val fault: FaultAnswer)
}
