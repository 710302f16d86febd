package io.apricotslip.cli.command

import io.apricotslip.api.operators.RunningRequest
import io.apricotslip.cli.node.NodeAddress
import io.apricotslip.cli.node.NodeReply
import io.apricotslip.cli.node.OperatorCall
import io.apricotslip.cli.output.Column
import io.apricotslip.cli.output.Table
import io.apricotslip.cli.output.Terminal
import io.apricotslip.cli.output.formatDuration

/** `apricotslip running`. */
internal class RunningCommand(context: CommandContext) :
    NodesCommand<List<RunningRequest>>(
        context,
        name = "running",
        description = "Show the requests in progress on each node",
        call = OperatorCall.Running,
    ) {
    private val table =
        Table<Row>(
            listOf(
                Column("NODE") { it.node },
                Column("REQUEST") { it.request.request },
                Column("ADAPTER") { it.request.adapter },
                Column("SERVER") { it.request.server },
                Column("CLASS") { it.request.workClass.label },
                Column("CUSTOMER") { it.request.customer },
                Column("STEP") { it.request.step },
                Column("TOKENS") { it.request.tokens },
                Column("AGE") { formatDuration(it.request.ageMillis) },
            ),
        )

    override fun printAnswers(answers: List<NodeReply.Answered<List<RunningRequest>>>, terminal: Terminal) {
        if (answers.all { it.value.isEmpty() }) return terminal.printLine("No request is in progress.")
        table.print(answers.flatMap { (node, requests) -> requests.map { Row(node, it) } }, terminal)
    }

    override fun isHealthy(answers: List<List<RunningRequest>>): Boolean = true

    private class Row(val node: NodeAddress, val request: RunningRequest)
}
