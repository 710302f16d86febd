package io.apricotslip.standins.settings

/** Checks several stand-ins of one process: names and ports must differ. */
internal fun hostedFaults(key: String, all: List<StandinSettings>): List<SettingsFault> = rules("") {
    require(key, all.isNotEmpty(), "must not be empty")
    val ids = all.map { it.id }
    val ports = all.flatMap { listOf(it.port, it.admin.port) }
    all.forEachIndexed { i, s ->
        nested("$key[$i]", s)
        require("$key[$i].id", ids.indexOf(s.id) == i, "'${s.id}' is listed twice")
        require("$key[$i].port", s.port == 0 || ports.count { it == s.port } == 1, "port ${s.port} is used twice")
    }
}
