package io.apricotslip.testutils.process

import kotlin.system.exitProcess

/** Says that it listens on the port that it is given, and waits. */
internal object SampleDaemon {
    @JvmStatic
    fun main(args: Array<String>) {
        if (args.isEmpty()) {
            System.err.println("no port was given")
            exitProcess(3)
        }
        println("listening port=${args[0]}")
        Thread.sleep(Long.MAX_VALUE)
    }
}
