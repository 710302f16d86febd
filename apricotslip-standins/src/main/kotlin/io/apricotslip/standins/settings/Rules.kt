package io.apricotslip.standins.settings

import io.apricotslip.api.json.RuleFault
import io.apricotslip.api.manifest.IpAddress

private const val MAX_PORT = 65_535

/** Collects the faults of one settings object whose keys start with [path]. */
internal class Rules(private val path: String) {
    private val faults = mutableListOf<RuleFault>()

    /** Faults found so far. */
    fun found(): List<RuleFault> = faults

    /** Adds a fault at [key] unless [isMet]; [relatedKeys] are the other keys that the rule reads. */
    fun require(key: String, isMet: Boolean, reason: String, relatedKeys: List<String> = emptyList()) {
        if (!isMet) faults += RuleFault(fullPath(key), reason, relatedKeys.map(::fullPath))
    }

    /** [value] must be at least [min]. */
    fun atLeast(key: String, value: Number, min: Number) {
        require(key, value.toDouble() >= min.toDouble(), "must be at least $min")
    }

    /** [value] must be greater than 0. */
    fun positive(key: String, value: Number) {
        require(key, value.toDouble() > 0, "must be greater than 0")
    }

    /** [value] must be a port number; 0 lets the system choose a free port. */
    fun port(key: String, value: Int) {
        require(key, value in 0..MAX_PORT, "must be between 0 and $MAX_PORT")
    }

    /** [value] must be an IP address. */
    fun address(key: String, value: String) {
        require(key, IpAddress.isValid(value), "'$value' is not an IP number")
    }

    /** [value] must not be blank. */
    fun name(key: String, value: String) {
        require(key, value.isNotBlank(), "must not be empty")
    }

    /** Adds the faults of the nested [settings] under [key]. */
    fun nested(key: String, settings: Checked?) {
        if (settings != null) faults += settings.faults(fullPath(key))
    }

    private fun fullPath(key: String): String = if (path.isEmpty()) key else "$path.$key"
}

/** Validates the settings at [path] with [block] and returns the faults found. */
internal fun rules(path: String, block: Rules.() -> Unit): List<RuleFault> = Rules(path).apply(block).found()
