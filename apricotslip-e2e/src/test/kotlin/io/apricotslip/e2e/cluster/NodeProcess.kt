package io.apricotslip.e2e.cluster

import io.apricotslip.testutils.process.Daemon

/** A node that runs as a process. */
internal class NodeProcess(val vm: String, val daemon: Daemon, val callers: Int, val operators: Int, val peers: Int) {
    /** Whether it takes callers' requests. */
    fun isReady(): Boolean = runCatching { Http.get(operators, "/readyz").status == READY }.getOrDefault(false)

    /** Why it does not. */
    fun reasons(): String = runCatching { Http.get(operators, "/readyz").body }.getOrElse { it.toString() }

    private companion object {
        const val READY = 200
    }
}
