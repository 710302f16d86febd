package io.apricotslip.api.history

import kotlinx.serialization.Serializable

/** Kind of a recorded event. */
@Serializable
public enum class EventKind {
    /** A caller's request was admitted by an entry VM. */
    INVOKE,

    /** A VM started a request on an engine, or an engine began to execute it. */
    RUN,

    /** A chunk of the answer was forwarded. */
    CHUNK,

    /** The complete answer was forwarded. */
    COMPLETE,

    /** A request ended with a refusal. */
    REFUSED,

    /** A stream ended on an engine, successfully or not. */
    STREAM_END,

    /** An adapter was loaded. */
    LOAD,

    /** An adapter was evicted. */
    EVICT,

    /** A manifest came into force on a VM. */
    IN_FORCE,

    /** The booking service executed a reservation. */
    RESERVE,
}

/**
 * One line of a history file. Processes write the events as JSON lines when the setting `history.file` names a file;
 * the invariant checkers of the tests merge the files. Fields that do not apply are omitted.
 *
 * @property at reading of the machine's monotonic clock in nanoseconds; all processes of one machine share that clock.
 * @property process name of the VM or stand-in that recorded the event.
 */
@Serializable
public data class HistoryEvent(
    public val at: Long,
    public val process: String,
    public val kind: EventKind,
    public val request: String? = null,
    public val server: String? = null,
    public val adapter: String? = null,
    public val version: String? = null,
    public val revision: Long? = null,
    public val key: String? = null,
    public val offset: Int? = null,
    public val text: String? = null,
    public val certainty: String? = null,
    public val detail: String? = null,
)
