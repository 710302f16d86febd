package io.apricotslip.core.owner

/** How a request left the engine. */
internal sealed class StreamEnding {
    abstract val call: OwnerCall

    /** It ran, wholly or in part, or was cancelled. */
    data class Finished(override val call: OwnerCall) : StreamEnding()

    /** The engine refused it before any work, with its own word for the [reason]. */
    data class NotStarted(override val call: OwnerCall, val reason: String) : StreamEnding()
}
