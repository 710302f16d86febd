package io.apricotslip.standins.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Operating mode of a simulated platform service. */
internal enum class PlatformMode(val label: String) {
    /** Serves the published values. */
    UP("up"),

    /** Fails calls in the way set by [DownBehaviour]. */
    DOWN("down"),

    /** Keeps serving the values that were visible when the mode was set. */
    STALE("stale"),
    ;

    companion object {
        /** The mode named [label], or null. */
        fun of(label: String?): PlatformMode? = entries.firstOrNull { it.label == label }
    }
}

/** How a service that is down rejects its callers. */
@Serializable
internal enum class DownBehaviour {
    /** Stops listening, so that connections are refused, and closes the open ones. */
    @SerialName("refuse")
    REFUSE,

    /** Answers 503. */
    @SerialName("unavailable")
    UNAVAILABLE,
}
