package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode
import io.apricotslip.cli.node.NodeAddress
import io.apricotslip.cli.node.NodeClient
import io.apricotslip.cli.node.NodeReply
import io.apricotslip.cli.node.OperatorCall
import io.apricotslip.cli.output.ErrorReport
import io.apricotslip.cli.output.NodeReport
import io.apricotslip.cli.output.NodesReport
import io.apricotslip.cli.output.Terminal
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration

/** Base of the commands that send the same call to one or more nodes and print their answers side by side. */
@OptIn(ExperimentalCli::class)
internal abstract class NodesCommand<T>(
    private val context: CommandContext,
    name: String,
    description: String,
    private val call: OperatorCall<T>,
) : Subcommand(name, description) {
    private val nodeOptions by option(
        ArgType.String,
        fullName = "node",
        description = "HOST:PORT of a node's operators' port; may be repeated. Default: the list in $NODES_VARIABLE",
    ).multiple()
    private val keyFile by option(ArgType.String, fullName = "key-file", description = "File that holds the key")
    private val json by option(ArgType.Boolean, fullName = "json", description = "Print JSON").default(false)
    private val timeoutMillis by option(
        ArgType.Int,
        fullName = "timeout-millis",
        description = "Time limit for each node's answer, in milliseconds",
    ).default(DEFAULT_TIMEOUT_MILLIS)

    /** Whether the node list in the environment is used when no `--node` is given. */
    protected open val nodesFromEnvironment: Boolean get() = true

    /** Prints [answers] as human-readable text. */
    protected abstract fun printAnswers(answers: List<NodeReply.Answered<T>>, terminal: Terminal)

    /** Whether [answers] show no fault; if not, the command exits with [ExitCode.FAULT]. */
    protected abstract fun isHealthy(answers: List<T>): Boolean

    /** Whether the nodes agree in their [answers]; null for commands whose answers may differ between nodes. */
    protected open fun agreed(answers: List<T>): Boolean? = null

    override fun execute() {
        if (timeoutMillis < 1) throw CommandExit("--timeout-millis must be at least 1", ExitCode.USAGE)
        val client = NodeClient(keyFile?.let(::readKey), Duration.ofMillis(timeoutMillis.toLong()))
        val replies = client.call(nodes(), call)
        val answers = replies.filterIsInstance<NodeReply.Answered<T>>()
        val values = answers.map { it.value }
        val errors = replies.associateWith(::toErrorReport)
        if (json) {
            val reports = replies.map { NodeReport(it.node.toString(), (it as? NodeReply.Answered)?.value, errors[it]) }
            val report = NodesReport(reports, agreed(values))
            context.terminal.printLine(Json.encodeToString(NodesReport.serializer(call.serializer), report))
        } else if (answers.isNotEmpty()) {
            printAnswers(answers, context.terminal)
        }
        errors.values.filterNotNull().forEach {
            context.terminal.printError("error step=${it.step} peer=${it.peer} reason=\"${it.reason}\"")
        }
        context.exitCode = exitCode(replies, values)
    }

    private fun exitCode(replies: List<NodeReply<T>>, answers: List<T>): ExitCode = when {
        replies.any { it is NodeReply.NotAuthorized } -> ExitCode.NOT_AUTHORIZED
        replies.any { it is NodeReply.Failed } -> ExitCode.NO_ANSWER
        !isHealthy(answers) || agreed(answers) == false -> ExitCode.FAULT
        else -> ExitCode.OK
    }

    private fun toErrorReport(reply: NodeReply<T>): ErrorReport? = when (reply) {
        is NodeReply.Answered -> null
        is NodeReply.Failed -> ErrorReport(reply.step, reply.node.toString(), reply.reason)
        is NodeReply.NotAuthorized -> ErrorReport(reply.step, reply.node.toString(), reply.reason)
    }

    private fun nodes(): List<NodeAddress> {
        val fromEnvironment =
            if (nodesFromEnvironment) context.environment[NODES_VARIABLE].orEmpty().split(',', ' ') else emptyList()
        val texts = nodeOptions.ifEmpty { fromEnvironment.filter { it.isNotBlank() } }
        if (texts.isEmpty()) throw CommandExit("$name: a node is needed: give --node HOST:PORT", ExitCode.USAGE)
        return texts.distinct().map {
            NodeAddress.parse(it) ?: throw CommandExit("$name: '$it' is not HOST:PORT", ExitCode.USAGE)
        }
    }

    private fun readKey(file: String): String {
        val text =
            try {
                Files.readString(Path.of(file)).trim()
            } catch (e: IOException) {
                throw CommandExit("$name: cannot read --key-file $file: ${e.javaClass.simpleName}", ExitCode.USAGE)
            }
        if (text.isEmpty()) throw CommandExit("$name: --key-file $file is empty", ExitCode.USAGE)
        return text
    }

    private companion object {
        const val NODES_VARIABLE = "APRICOTSLIP_NODES"
        const val DEFAULT_TIMEOUT_MILLIS = 5_000
    }
}
