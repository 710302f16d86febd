package io.apricotslip.testutils.history

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent

/**
 * The joined events of a run, in the order of the machine's monotonic clock.
 *
 * Three sides record: callers (the test itself, process names that begin with [CALLER]), VMs, and backend servers.
 * An event of a backend server has its own name as process and as server; that side is what truly happened.
 *
 * @property lives events of each process life, one list for each file.
 */
public class History(public val lives: List<List<HistoryEvent>>) {
    /** All events. */
    public val events: List<HistoryEvent> = lives.flatten().sortedBy { it.at }

    /** Events that callers recorded. */
    public val callers: List<HistoryEvent> = events.filter { it.process.startsWith(CALLER) }

    /** Events that backend servers recorded. */
    public val servers: List<HistoryEvent> = events.filter { it.server != null && it.server == it.process }

    /** Events that VMs recorded. */
    public val vms: List<HistoryEvent> =
        events.filter { !it.process.startsWith(CALLER) && it.server != it.process }

    /** Events of callers by request. */
    public val requests: Map<String, List<HistoryEvent>> = callers.filter {
        it.request != null
    }.groupBy { it.request!! }

    /** Requests that were answered in whole. */
    public fun answered(): Set<String> = requests.filterValues { all -> all.any { it.kind == EventKind.COMPLETE } }.keys

    public companion object {
        /** Beginning of the process names of callers. */
        public const val CALLER: String = "caller"

        private val attemptSuffix = Regex("""\.\d+$""")

        /** The caller's request that the attempt named [stream] belongs to; later attempts are named `request.2`. */
        public fun requestOf(stream: String): String = stream.replace(attemptSuffix, "")
    }
}
