package io.apricotslip.bench.decide

/** What `bench decide` runs. */
internal class DecideOptions(
    val quick: Boolean,
    val seed: Long,
    val threads: Int,
    val deployment: String?,
    val scenario: String?,
    val policy: String?,
)
