package io.apricotslip.testutils.process

import java.time.Duration

/**
 * Describes how to start a daemon.
 *
 * @property name prefix of its output files and name in error messages.
 * @property mainClass class with the `main` function, on the class path of the test.
 * @property readyLine pattern of the line on standard output that reports that the daemon listens.
 * @property heapMegabytes maximum heap size of the process, `-Xmx`.
 * @property startTimeout maximum time that [Daemon.awaitReady] waits.
 */
public data class DaemonSpec(
    public val name: String,
    public val mainClass: String,
    public val arguments: List<String>,
    public val readyLine: Regex,
    public val heapMegabytes: Int = 128,
    public val startTimeout: Duration = Duration.ofSeconds(DEFAULT_START_TIMEOUT_SECONDS),
) {
    private companion object {
        const val DEFAULT_START_TIMEOUT_SECONDS = 60L
    }
}
