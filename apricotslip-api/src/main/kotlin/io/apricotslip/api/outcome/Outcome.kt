package io.apricotslip.api.outcome

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What is known about whether a call that did not complete has run. */
@Serializable
public enum class Certainty(public val label: String) {
    /** Proven not to have run: never sent, or refused by the backend server before any work. */
    @SerialName("not_run")
    NOT_RUN("not_run"),

    /** It may have run, completely or in part. */
    @SerialName("unknown")
    UNKNOWN("unknown"),
}

/** Step of a request at which an error occurred. */
@Serializable
public enum class Step(public val label: String) {
    @SerialName("parse")
    PARSE("parse"),

    @SerialName("admit")
    ADMIT("admit"),

    @SerialName("route")
    ROUTE("route"),

    @SerialName("forward")
    FORWARD("forward"),

    @SerialName("queue")
    QUEUE("queue"),

    @SerialName("load")
    LOAD("load"),

    @SerialName("start")
    START("start"),

    @SerialName("stream")
    STREAM("stream"),

    @SerialName("reserve")
    RESERVE("reserve"),
}

/** Stable error code of a refusal; callers and alerts may rely on it. */
@Serializable
public enum class RefusalCode(public val label: String, public val httpStatus: Int) {
    @SerialName("bad_request")
    BAD_REQUEST("bad_request", 400),

    @SerialName("too_large")
    TOO_LARGE("too_large", 413),

    @SerialName("unknown_adapter")
    UNKNOWN_ADAPTER("unknown_adapter", 404),

    @SerialName("unknown_service")
    UNKNOWN_SERVICE("unknown_service", 404),

    @SerialName("bad_key")
    BAD_KEY("bad_key", 400),

    @SerialName("repeated_key")
    REPEATED_KEY("repeated_key", 409),

    @SerialName("key_before_tenure")
    KEY_BEFORE_TENURE("key_before_tenure", 409),

    @SerialName("overloaded")
    OVERLOADED("overloaded", 429),

    @SerialName("customer_limit")
    CUSTOMER_LIMIT("customer_limit", 429),

    @SerialName("deadline")
    DEADLINE("deadline", 504),

    @SerialName("not_ready")
    NOT_READY("not_ready", 503),

    @SerialName("stopping")
    STOPPING("stopping", 503),

    @SerialName("no_backend_server")
    NO_BACKEND_SERVER("no_backend_server", 503),

    @SerialName("peer_unreachable")
    PEER_UNREACHABLE("peer_unreachable", 502),

    @SerialName("backend_server_failed")
    BACKEND_SERVER_FAILED("backend_server_failed", 502),

    @SerialName("wrong_adapter")
    WRONG_ADAPTER("wrong_adapter", 502),

    @SerialName("cancelled")
    CANCELLED("cancelled", 499),
}

/**
 * A request that was refused or failed before it completed.
 *
 * @property peer the VM, backend server or service at which the error occurred.
 * @property detail one sentence in English for human readers.
 */
@Serializable
public data class Refusal(
    public val code: RefusalCode,
    public val step: Step,
    public val peer: String,
    public val certainty: Certainty,
    public val detail: String,
)

/** Result of a call; each of the three cases has its own type. */
@Serializable
public sealed class Outcome<out T> {
    /** The complete answer was received. */
    @Serializable
    @SerialName("completed")
    public data class Completed<T>(public val value: T) : Outcome<T>()

    /** Proven not to have run. */
    @Serializable
    @SerialName("not_run")
    public data class NotRun(public val refusal: Refusal) : Outcome<Nothing>()

    /** It may have run. */
    @Serializable
    @SerialName("unknown")
    public data class Unknown(public val refusal: Refusal) : Outcome<Nothing>()
}
