package io.apricotslip.standins.settings

import io.apricotslip.api.json.RuleFault

/** Validates the stand-ins of one process, listed under [key]: their names and ports must be unique. */
internal fun hostedFaults(key: String, all: List<StandinSettings>): List<RuleFault> = rules("") {
    require(key, all.isNotEmpty(), "must not be empty")
    val ids = all.map { it.id }
    val ports = all.flatMap { listOf(it.port, it.admin.port) }
    all.forEachIndexed { i, s ->
        nested("$key[$i]", s)
        require("$key[$i].id", ids.indexOf(s.id) == i, "'${s.id}' is listed twice")
        require("$key[$i].port", isUnique(s.port, ports), "port ${s.port} is used twice")
        require("$key[$i].admin.port", isUnique(s.admin.port, ports), "port ${s.admin.port} is used twice")
    }
}

private fun isUnique(port: Int, ports: List<Int>): Boolean = port == 0 || ports.count { it == port } == 1
