package io.apricotslip.standins.settings

import io.apricotslip.api.json.RuleFault
import kotlinx.serialization.Serializable
import java.io.File

private const val LOOPBACK = "127.0.0.1"

/** Port of the stand-in's own controls. */
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

/** What all stand-ins have in common. */
internal sealed interface StandinSettings : Checked {
    /** Name of the stand-in in logs and histories. */
    val id: String

    /** IP number it listens on. */
    val address: String

    /** TCP port it listens on; 0 for a free one. */
    val port: Int

    /** Its controls. */
    val admin: AdminSettings

    /** File to which it appends its history, or null. */
    val historyFile: String?

    /** Faults of the common keys. */
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
