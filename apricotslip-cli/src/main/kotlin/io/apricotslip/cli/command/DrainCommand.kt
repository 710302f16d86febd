package io.apricotslip.cli.command

import io.apricotslip.api.operators.DrainAnswer
import io.apricotslip.cli.node.NodeReply
import io.apricotslip.cli.node.OperatorCall
import io.apricotslip.cli.output.Column
import io.apricotslip.cli.output.Table
import io.apricotslip.cli.output.Terminal
import io.apricotslip.cli.output.yesNo

/**
 * `apricotslip drain`. Nodes must be given with `--node`, so that the node list in the environment cannot drain the
 * whole fleet.
 */
internal class DrainCommand(context: CommandContext) :
    NodesCommand<DrainAnswer>(
        context,
        name = "drain",
        description = "Make nodes take no new work and exit when their requests are done; needs --node",
        call = OperatorCall.Drain,
    ) {
    private val table =
        Table<NodeReply.Answered<DrainAnswer>>(
            listOf(
                Column("NODE") { it.node },
                Column("VM") { it.value.vm },
                Column("DRAINING") { yesNo(it.value.draining) },
                Column("RUNNING") { it.value.running },
            ),
        )

    override val nodesFromEnvironment: Boolean get() = false

    override fun printAnswers(answers: List<NodeReply.Answered<DrainAnswer>>, terminal: Terminal) {
        table.print(answers, terminal)
    }

    override fun isHealthy(answers: List<DrainAnswer>): Boolean = answers.all { it.draining }
}
