package io.apricotslip.api.work

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Class of a request, most urgent first. The caller names it in the `X-Apricotslip-Class` header. */
@Serializable
public enum class WorkClass(public val label: String) {
    /** A person waits for the first token. */
    @SerialName("interactive")
    INTERACTIVE("interactive"),

    /** A long plan: the caller waits for the complete answer, not for the first token. */
    @SerialName("plan")
    PLAN("plan"),

    /** Deferrable work such as overnight summaries. */
    @SerialName("deferrable")
    DEFERRABLE("deferrable"),
    ;

    public companion object {
        /** The class with [label], or null. */
        public fun of(label: String): WorkClass? = entries.firstOrNull { it.label == label }
    }
}
