package io.apricotslip.cli.output

import java.io.PrintStream

/** Where a command writes: results to [out], errors to [err]. */
internal class Terminal(private val out: PrintStream, private val err: PrintStream) {
    fun line(text: String): Unit = out.println(text)

    fun error(text: String): Unit = err.println(text)
}
