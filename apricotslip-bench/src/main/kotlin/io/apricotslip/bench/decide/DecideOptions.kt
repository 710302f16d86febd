package io.apricotslip.bench.decide

/** Options of `bench decide`; a filter that is null selects everything. */
internal class DecideOptions(
    val quick: Boolean,
    val seed: Long,
    val threads: Int,
    val deployment: String?,
    val scenario: String?,
    val policy: String?,
)
