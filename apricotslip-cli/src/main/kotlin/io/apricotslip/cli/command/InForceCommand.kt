package io.apricotslip.cli.command

import io.apricotslip.api.operators.ManifestInForce
import io.apricotslip.cli.node.NodeReply
import io.apricotslip.cli.node.OperatorCall
import io.apricotslip.cli.output.Column
import io.apricotslip.cli.output.Table
import io.apricotslip.cli.output.Terminal
import io.apricotslip.cli.output.formatDuration

/** `apricotslip manifest in-force`. */
internal class InForceCommand(context: CommandContext) :
    NodesCommand<ManifestInForce>(
        context,
        name = "in-force",
        description = "Show which manifest is in force on each node, and whether all agree",
        call = OperatorCall.InForce,
    ) {
    private val table =
        Table<NodeReply.Answered<ManifestInForce>>(
            listOf(
                Column("NODE") { it.node },
                Column("VM") { it.value.vm },
                Column("REVISION") { it.value.revision },
                Column("SOURCE") { it.value.source },
                Column("IN FORCE") { reply -> reply.value.revision?.let { formatDuration(reply.value.inForceMillis) } },
                Column("MODELS") { it.value.models },
                Column("ADAPTERS") { it.value.adapters },
                Column("ENGINES") { it.value.engines },
                Column("SERVICES") { it.value.services },
            ),
        )

    override fun printAnswers(answers: List<NodeReply.Answered<ManifestInForce>>, terminal: Terminal) {
        table.print(answers, terminal)
        terminal.printLine(summary(answers.map { it.value }))
    }

    override fun isHealthy(answers: List<ManifestInForce>): Boolean = answers.all { it.revision != null }

    override fun agreed(answers: List<ManifestInForce>): Boolean = answers.map { it.revision }.distinct().size <= 1

    private fun summary(answers: List<ManifestInForce>): String {
        val revisions = answers.groupBy { it.revision }
        if (revisions.size > 1) {
            val parts =
                revisions.map { (revision, nodes) ->
                    "${revision ?: "none"} on ${nodes.joinToString { "${it.vm}" }}"
                }
            return "The nodes do not agree: ${parts.joinToString("; ")}."
        }
        val revision = revisions.keys.single() ?: return "No manifest is in force."
        return "Revision $revision is in force on all ${answers.size} nodes that answered."
    }
}
