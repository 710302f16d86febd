package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/**
 * A planned stop cuts off no request under way: each request that the VM had admitted or run, and that had not ended
 * when the stop began, is answered in whole.
 *
 * @param vm the VM that stops.
 * @param since when it was told to stop, in nanoseconds.
 */
public class PlannedStopCutsNothing(private val vm: String, private val since: Long) : Invariant {
    override val name: String = "planned-stop-cuts-nothing"

    override fun violations(history: History): List<Violation> {
        val touched =
            history.vms
                .filter {
                    it.process == vm && it.at < since && (it.kind == EventKind.INVOKE || it.kind == EventKind.RUN)
                }
                .mapNotNull { it.request?.let(History::requestOf) }
                .toSet()
        return touched.mapNotNull { request ->
            val end = history.requests[request].orEmpty().firstOrNull(::isEnd)
            when {
                end == null -> Violation(name, request, "never ended")
                end.at >= since && end.kind == EventKind.REFUSED -> Violation(name, request, "refused: ${end.detail}")
                else -> null
            }
        }
    }

    private fun isEnd(event: HistoryEvent): Boolean =
        event.kind == EventKind.COMPLETE || event.kind == EventKind.REFUSED
}
