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

/** A command that asks one or more nodes the same and shows their answers side by side. */
@OptIn(ExperimentalCli::class)
internal abstract class NodesCommand<T>(
    private val context: CommandContext,
    name: String,
    description: String,
    private val call: OperatorCall<T>,
) : Subcommand(name, description) {
    private val given by option(
        ArgType.String,
        fullName = "node",
        description = "HOST:PORT of a node's operators' port; may be repeated. Default: the list in $NODES",
    ).multiple()
    private val keyFile by option(ArgType.String, fullName = "key-file", description = "File that holds the key")
    private val json by option(ArgType.Boolean, fullName = "json", description = "Print JSON").default(false)
    private val timeoutMillis by option(
        ArgType.Int,
        fullName = "timeout-millis",
        description = "Time limit for each node's answer, in milliseconds",
    ).default(DEFAULT_TIMEOUT_MILLIS)

    /** Whether the nodes may be taken from the environment. */
    protected open val nodesFromEnvironment: Boolean get() = true

    /** Prints [answers] for people. */
    protected abstract fun show(answers: List<NodeReply.Answered<T>>, terminal: Terminal)

    /** Whether [answers] are as they should be. */
    protected abstract fun isSound(answers: List<T>): Boolean

    /** Whether [answers] are alike; null for commands whose answers need not be. */
    protected open fun agreed(answers: List<T>): Boolean? = null

    override fun execute() {
        if (timeoutMillis < 1) throw CommandExit("--timeout-millis must be at least 1", ExitCode.USAGE)
        val client = NodeClient(keyFile?.let(::readKey), Duration.ofMillis(timeoutMillis.toLong()))
        val replies = client.call(nodes(), call)
        val answers = replies.filterIsInstance<NodeReply.Answered<T>>()
        val values = answers.map { it.value }
        val errors = replies.associateWith(::errorOf)
        if (json) {
            val reports = replies.map { NodeReport(it.node.toString(), (it as? NodeReply.Answered)?.value, errors[it]) }
            val report = NodesReport(reports, agreed(values))
            context.terminal.line(Json.encodeToString(NodesReport.serializer(call.serializer), report))
        } else if (answers.isNotEmpty()) {
            show(answers, context.terminal)
        }
        errors.values.filterNotNull().forEach {
            context.terminal.error("error step=${it.step} peer=${it.peer} reason=\"${it.reason}\"")
        }
        context.exitCode = exitCode(replies, values)
    }

    private fun exitCode(replies: List<NodeReply<T>>, answers: List<T>): ExitCode = when {
        replies.any { it is NodeReply.NotAuthorized } -> ExitCode.NOT_AUTHORIZED
        replies.any { it is NodeReply.Failed } -> ExitCode.NO_ANSWER
        !isSound(answers) || agreed(answers) == false -> ExitCode.FAULT
        else -> ExitCode.OK
    }

    private fun errorOf(reply: NodeReply<T>): ErrorReport? = when (reply) {
        is NodeReply.Answered -> null
        is NodeReply.Failed -> ErrorReport(reply.step, reply.node.toString(), reply.reason)
        is NodeReply.NotAuthorized -> ErrorReport(reply.step, reply.node.toString(), reply.reason)
    }

    private fun nodes(): List<NodeAddress> {
        val listed = if (nodesFromEnvironment) context.environment[NODES].orEmpty().split(',', ' ') else emptyList()
        val texts = given.ifEmpty { listed.filter { it.isNotBlank() } }
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
        const val NODES = "APRICOTSLIP_NODES"
        const val DEFAULT_TIMEOUT_MILLIS = 5_000
    }
}
