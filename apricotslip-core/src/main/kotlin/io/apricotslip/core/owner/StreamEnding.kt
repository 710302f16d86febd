package io.apricotslip.core.owner

/** How a request left the engine. */
internal sealed class StreamEnding {
    abstract val call: OwnerCall

    /** The request ran, completely or partly, or was cancelled. */
    data class Finished(override val call: OwnerCall) : StreamEnding()

    /** The engine refused the request before running any of it; [reason] is as named by the engine. */
    data class NotStarted(override val call: OwnerCall, val reason: String) : StreamEnding()
}
