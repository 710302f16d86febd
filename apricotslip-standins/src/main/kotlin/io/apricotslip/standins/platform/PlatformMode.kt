package io.apricotslip.standins.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a service of the platform behaves. */
internal enum class PlatformMode(val label: String) {
    /** Answers with what is published. */
    UP("up"),

    /** Does not answer, as [DownBehaviour] says. */
    DOWN("down"),

    /** Goes on to answer what it held when it went stale. */
    STALE("stale"),
    ;

    companion object {
        /** The mode named [label], or null. */
        fun of(label: String?): PlatformMode? = entries.firstOrNull { it.label == label }
    }
}

/** What a service that is down does with callers. */
@Serializable
internal enum class DownBehaviour {
    /** Refuses connections and closes open ones. */
    @SerialName("refuse")
    REFUSE,

    /** Answers 503. */
    @SerialName("unavailable")
    UNAVAILABLE,
}
