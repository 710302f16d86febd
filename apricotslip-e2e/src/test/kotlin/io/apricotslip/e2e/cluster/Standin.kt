package io.apricotslip.e2e.cluster

import io.apricotslip.testutils.process.Daemon

/** A stand-in that listens on [port], with its controls on [admin]. */
internal data class Standin(val id: String, val port: Int, val admin: Int, val daemon: Daemon)
