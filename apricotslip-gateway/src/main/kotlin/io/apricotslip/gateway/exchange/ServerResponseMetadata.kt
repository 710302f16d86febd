package io.apricotslip.gateway.exchange

/**
 * What the head of a backend server's answer says.
 *
 * @property status HTTP status.
 * @property requestId request that it answers; null when it does not say.
 * @property signed whether it bears the signature with which a backend server vouches for its answer.
 * @property notExecuted whether the server says that it did not run the request.
 * @property misdirected whether it does not serve the instance, model, adapter or version that was asked for.
 * @property serverId the server that answered, when it says so.
 */
public data class ServerResponseMetadata(
    public val status: Int,
    public val requestId: String?,
    public val signed: Boolean,
    public val notExecuted: Boolean,
    public val misdirected: Boolean,
    public val serverId: String?,
) {
    /** Whether the status is a success. */
    public val success: Boolean
        get() = status in 200..299
}
