package io.apricotslip.serving.crash

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.RequestTrait

/** One incarnation of a backend server. */
internal data class ServerIncarnation(val server: BackendServerId, val startedAtMillis: Long)

/**
 * The crash of a backend server at [at].
 *
 * @property traits traits of the requests that had no answer yet, with their positions; those that were answered since
 * are removed. Of a crash that is explained only the cause is left, and what was in all crashes with it.
 * @property changedAt time at which this node last learned something about the crash.
 */
internal class CrashRecord(
    val incarnation: ServerIncarnation,
    var at: Long,
    var changedAt: Long,
    val traits: MutableMap<RequestTrait, Int> = LinkedHashMap(),
) {
    /** The trait that explains the crash; null while it is not known. */
    var cause: RequestTrait? = null

    /** Whether the crash is explained and no evidence against anything else. */
    val isClosed: Boolean
        get() = cause != null && traits.size <= 1
}
