package io.apricotslip.standins.settings

import io.apricotslip.api.json.RuleFault
import kotlinx.serialization.Serializable
import java.io.File

private const val LOOPBACK = "127.0.0.1"

/** Address and port of the admin endpoints of a stand-in. */
@Serializable
internal data class AdminSettings(val port: Int, val address: String = LOOPBACK) : Checked {
    override fun faults(path: String): List<RuleFault> = rules(path) {
        port("port", port)
        address("address", address)
    }
}

/** Address of another stand-in. */
@Serializable
internal data class PeerAddress(val port: Int, val address: String = LOOPBACK) : Checked {
    override fun faults(path: String): List<RuleFault> = rules(path) {
        positive("port", port)
        port("port", port)
        address("address", address)
    }
}

/** Settings that all stand-ins share. */
internal sealed interface StandinSettings : Checked {
    /** Name of the stand-in in logs and histories. */
    val id: String

    /** IP address of the service port. */
    val address: String

    /** TCP port of the service; 0 lets the system choose a free one. */
    val port: Int

    /** Address and port of its admin endpoints. */
    val admin: AdminSettings

    /** File to which the history is appended, or null for no file. */
    val historyFile: String?

    /** Validates the shared settings; the paths of the faults start with [path]. */
    fun commonFaults(path: String): List<RuleFault> = rules(path) {
        name("id", id)
        address("address", address)
        port("port", port)
        nested("admin", admin)
        val folder = historyFile?.let { File(it).absoluteFile.parentFile }
        require("historyFile", folder == null || folder.isDirectory, "'$folder' is not a folder")
        require("admin.port", port == 0 || port != admin.port, "must differ from port", listOf("port"))
    }
}
