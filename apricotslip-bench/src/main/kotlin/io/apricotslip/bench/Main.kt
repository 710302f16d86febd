package io.apricotslip.bench

import io.apricotslip.bench.decide.DecideCommand
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** `bench`: measures the decisions in virtual time, and running nodes under load. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("bench")
    parser.subcommands(DecideCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}
