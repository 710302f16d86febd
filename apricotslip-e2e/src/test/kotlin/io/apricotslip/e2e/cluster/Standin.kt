package io.apricotslip.e2e.cluster

import io.apricotslip.testutils.process.Daemon

/** A stand-in service that listens on [port] and accepts control requests on [adminPort]. */
internal data class Standin(val id: String, val port: Int, val adminPort: Int, val daemon: Daemon)
