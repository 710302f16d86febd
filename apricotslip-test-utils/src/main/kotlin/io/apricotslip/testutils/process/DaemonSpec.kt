package io.apricotslip.testutils.process

import java.time.Duration

/**
 * How to start a daemon.
 *
 * @property name name of its output files.
 * @property mainClass class with the `main` function, on the class path of the test.
 * @property ready a line of the standard output that says that it listens.
 * @property heapMegabytes `-Xmx` of the process.
 */
public data class DaemonSpec(
    public val name: String,
    public val mainClass: String,
    public val arguments: List<String>,
    public val ready: Regex,
    public val heapMegabytes: Int = 128,
    public val startLimit: Duration = Duration.ofSeconds(DEFAULT_START_SECONDS),
) {
    private companion object {
        const val DEFAULT_START_SECONDS = 60L
    }
}
