package io.apricotslip.bench.decide

import io.apricotslip.bench.report.MarkdownTable
import io.apricotslip.bench.report.MeasurementsPage
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.nio.file.Path

/** `bench decide`: runs the decision code alone in virtual time. */
@OptIn(ExperimentalCli::class)
internal class DecideCommand : Subcommand("decide", "Run the decision code alone in virtual time and print the table") {
    private val quick by option(ArgType.Boolean, "quick", description = "Short scenarios").default(false)
    private val seed by option(ArgType.Int, "seed", description = "Seed of requests and decisions").default(1)
    private val threads by option(ArgType.Int, "threads", description = "Runs at a time").default(3)
    private val deployment by option(ArgType.String, "deployment", description = "Only Llyn or Tandemratas")
    private val scenario by option(ArgType.String, "scenario", description = "Only the scenario of this name")
    private val policy by option(ArgType.String, "policy", description = "Beside the baselines only this variant")
    private val write by option(ArgType.String, "write", description = "Directory in which to write the page and plots")

    override fun execute() {
        val reports = DecideBench(DecideOptions(quick, seed.toLong(), threads, deployment, scenario, policy)).run()
        for (report in reports) {
            println("\n${report.title}\n")
            println(MarkdownTable.of(report))
        }
        println("\n${MarkdownTable.targets(reports)}")
        write?.let { MeasurementsPage(Path.of(it)).write(reports) }
    }
}
