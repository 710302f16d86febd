package io.apricotslip.serving.state

/** Limits on the size of a caller's requests and on how long the caller may take to send them. */
public data class CallerLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Int,
    public val headerTimeoutMillis: Long,
    public val idleTimeoutMillis: Long,
) {
    public companion object {
        /** In force until a desired state is known. */
        public val Initial: CallerLimits =
            CallerLimits(
                maxHeaderBytes = 16_384,
                maxBodyBytes = 4_194_304,
                headerTimeoutMillis = 3_000,
                idleTimeoutMillis = 15_000,
            )
    }
}
