package io.apricotslip.settings

import io.apricotslip.api.json.RuleFault
import io.apricotslip.api.manifest.IpAddress

/** Validates values of a document and collects the violated rules. Each check is given the path of its value. */
internal class RuleValidator {
    private val collected = mutableListOf<RuleFault>()

    val violations: List<RuleFault> get() = collected

    /** Records a violation unless [valid]; [comparedPaths] are the other values that the rule depends on. */
    fun check(valid: Boolean, path: String, reason: String, comparedPaths: List<String> = emptyList()) {
        if (!valid) collected += RuleFault(path, reason, comparedPaths)
    }

    fun atLeast(min: Long, path: String, value: Long) = check(value >= min, path, "must be at least $min")

    fun atLeast(min: Int, path: String, value: Int) = check(value >= min, path, "must be at least $min")

    fun ratio(path: String, value: Double) = check(value in 0.0..1.0, path, "must be between 0 and 1")

    fun address(path: String, value: String) = check(IpAddress.isValid(value), path, "'$value' is not an IP number")

    fun port(range: IntRange, path: String, value: Int) =
        check(value in range, path, "must be between ${range.first} and ${range.last}")

    fun name(path: String, value: String) =
        check(VALID_NAME.matches(value), path, "'$value' is not a name: 1 to 200 letters, digits or . _ : / -")

    private companion object {
        val VALID_NAME = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}")
    }
}
