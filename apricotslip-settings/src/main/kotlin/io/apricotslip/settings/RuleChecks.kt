package io.apricotslip.settings

import io.apricotslip.api.json.RuleFault
import io.apricotslip.api.manifest.IpNumber

/** Collects the violated rules of a document; each check names the path of the value. */
internal class RuleChecks {
    private val found = mutableListOf<RuleFault>()

    val broken: List<RuleFault> get() = found

    fun check(holds: Boolean, path: String, reason: String, reads: List<String> = emptyList()) {
        if (!holds) found += RuleFault(path, reason, reads)
    }

    fun atLeast(min: Long, path: String, value: Long) = check(value >= min, path, "must be at least $min")

    fun atLeast(min: Int, path: String, value: Int) = check(value >= min, path, "must be at least $min")

    fun ratio(path: String, value: Double) = check(value in 0.0..1.0, path, "must be between 0 and 1")

    fun address(path: String, value: String) = check(IpNumber.isValid(value), path, "'$value' is not an IP number")

    fun port(range: IntRange, path: String, value: Int) =
        check(value in range, path, "must be between ${range.first} and ${range.last}")

    fun name(path: String, value: String) =
        check(NAME.matches(value), path, "'$value' is not a name: 1 to 200 letters, digits or . _ : / -")

    private companion object {
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}")
    }
}
