package io.apricotslip.testutils.process

import kotlin.system.exitProcess

/** Prints a ready line with the port given as argument and sleeps; exits with an error if no port is given. */
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
