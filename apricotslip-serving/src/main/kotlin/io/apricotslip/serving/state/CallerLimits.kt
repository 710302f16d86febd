package io.apricotslip.serving.state

/** What a caller may send and how long it may take; bytes and milliseconds. */
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerMillis: Long,
    public val idleMillis: Long,
) {
    public companion object {
        /** In force until a desired state is known. */
        public val Initial: CallerLimits =
            CallerLimits(headerBytes = 16_384, bodyBytes = 4_194_304, headerMillis = 3_000, idleMillis = 15_000)
    }
}
