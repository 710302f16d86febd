package io.apricotslip.bench

import io.apricotslip.bench.decide.DecideCommand
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** `bench`: runs the decision code in virtual time. Running nodes under load are measured by `load`. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("bench")
    parser.subcommands(DecideCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}
