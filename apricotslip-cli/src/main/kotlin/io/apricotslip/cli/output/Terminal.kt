package io.apricotslip.cli.output

import java.io.PrintStream

/** Output of a command: results are written to [out], errors to [err]. */
internal class Terminal(private val out: PrintStream, private val err: PrintStream) {
    fun printLine(text: String): Unit = out.println(text)

    fun printError(text: String): Unit = err.println(text)
}
