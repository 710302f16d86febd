package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/**
 * A graceful shutdown aborts no request in progress: each request that the VM had admitted or executed, and that had
 * not ended when the shutdown began, is answered completely.
 *
 * @param vm the VM that shuts down.
 * @param since time of the stop signal, in nanoseconds.
 */
public class PlannedStopCutsNothing(private val vm: String, private val since: Long) : Invariant {
    override val name: String = "planned-stop-cuts-nothing"

    override fun violations(history: History): List<Violation> {
        val handledRequests =
            history.vms
                .filter {
                    it.process == vm && it.at < since && (it.kind == EventKind.INVOKE || it.kind == EventKind.RUN)
                }
                .mapNotNull { it.request?.let(History::requestOf) }
                .toSet()
        return handledRequests.mapNotNull { request ->
            val end = history.requests[request].orEmpty().firstOrNull(::isTerminal)
            when {
                end == null -> Violation(name, request, "never ended")
                end.at >= since && end.kind == EventKind.REFUSED -> Violation(name, request, "refused: ${end.detail}")
                else -> null
            }
        }
    }

    private fun isTerminal(event: HistoryEvent): Boolean =
        event.kind == EventKind.COMPLETE || event.kind == EventKind.REFUSED
}
