package io.apricotslip.e2e.cluster

import io.apricotslip.testutils.process.Daemon

/** A node that runs in a separate process, with the ports that it listens on. */
internal class NodeProcess(
    val vm: String,
    val daemon: Daemon,
    val callerPort: Int,
    val operatorPort: Int,
    val peerPort: Int,
) {
    /** Whether the node reports that it accepts requests from callers. */
    fun isReady(): Boolean = runCatching { Http.get(operatorPort, "/readyz").status == HTTP_OK }.getOrDefault(false)

    /** Returns the body of the readiness check, which lists the reasons if the node is not ready. */
    fun readinessReport(): String = runCatching { Http.get(operatorPort, "/readyz").body }.getOrElse { it.toString() }

    private companion object {
        const val HTTP_OK = 200
    }
}
