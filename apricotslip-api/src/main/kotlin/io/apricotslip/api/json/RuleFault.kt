package io.apricotslip.api.json

/**
 * A violated rule on the values of a document whose structure is sound.
 *
 * @property path the value that is wrong.
 * @property reads further paths that the rule compared it with. A rule is not reported when a path that it read
 *   has a fault of its own, since the value there is not what the author meant.
 */
public data class RuleFault(
    public val path: String,
    public val reason: String,
    public val reads: List<String> = emptyList(),
)
