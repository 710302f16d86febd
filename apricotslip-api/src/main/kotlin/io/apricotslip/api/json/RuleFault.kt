package io.apricotslip.api.json

/**
 * A violated rule on the values of a document whose structure is valid.
 *
 * @property path path of the invalid value.
 * @property comparedPaths other paths whose values the rule compared it with. The violation is not reported when one of
 *   these paths, or [path], has a fault of its own, because the value there is not the intended one.
 */
public data class RuleFault(
    public val path: String,
    public val reason: String,
    public val comparedPaths: List<String> = emptyList(),
)
