package io.apricotslip.testutils.history

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent

/**
 * The merged events of a test run, ordered by the machine's monotonic clock.
 *
 * Events are recorded by callers (the test itself, with process names that start with [CALLER]), VMs and backend
 * servers. An event of a backend server has the server's name as both process and server; these events are the ground
 * truth about what was executed.
 *
 * @property incarnations events of each process incarnation, one list per history file.
 */
public class History(public val incarnations: List<List<HistoryEvent>>) {
    /** All events. */
    public val events: List<HistoryEvent> = incarnations.flatten().sortedBy { it.at }

    /** Events that callers recorded. */
    public val callers: List<HistoryEvent> = events.filter { it.process.startsWith(CALLER) }

    /** Events that backend servers recorded. */
    public val servers: List<HistoryEvent> = events.filter { it.server != null && it.server == it.process }

    /** Events that VMs recorded. */
    public val vms: List<HistoryEvent> =
        events.filter { !it.process.startsWith(CALLER) && it.server != it.process }

    /** Caller events grouped by request. */
    public val requests: Map<String, List<HistoryEvent>> = callers.filter {
        it.request != null
    }.groupBy { it.request!! }

    /** Returns the requests that were answered completely. */
    public fun answered(): Set<String> = requests.filterValues { all -> all.any { it.kind == EventKind.COMPLETE } }.keys

    public companion object {
        /** Prefix of the process names of callers. */
        public const val CALLER: String = "caller"

        private val attemptSuffix = Regex("""\.\d+$""")

        /** Returns the caller's request that the attempt [stream] belongs to; retries are named like `request.2`. */
        public fun requestOf(stream: String): String = stream.replace(attemptSuffix, "")
    }
}
