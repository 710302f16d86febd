package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/** A request that was refused as `not_run` is never executed on a backend server, before or after the refusal. */
public object NotRunDidNotRun : Invariant {
    override val name: String = "not-run-did-not-run"

    private const val NOT_RUN = "not_run"

    override fun violations(history: History): List<Violation> =
        streamViolations(history) + reservationViolations(history)

    private fun streamViolations(history: History): List<Violation> {
        val runs = history.servers.filter { it.kind == EventKind.RUN }
        val byRequest = runs.groupBy { History.requestOf(it.request.orEmpty()) }
        return history.requests.filterValues(::refusedAsNotRun).mapNotNull { (request, _) ->
            byRequest[request]?.let { Violation(name, request, "ran on ${it.joinToString { run -> run.process }}") }
        }
    }

    /**
     * An execution belongs to one of the requests with its key that were made before it, so it is a
     * violation if all of them were refused as `not_run`, or if there are none.
     */
    private fun reservationViolations(history: History): List<Violation> {
        val invokes = history.callers.filter { it.kind == EventKind.INVOKE && it.key != null }.groupBy { it.key }
        return history.servers.filter { it.kind == EventKind.RESERVE }.mapNotNull { run ->
            val candidates = invokes[run.key].orEmpty().filter { it.at <= run.at }
            val allNotRun = candidates.all { refusedAsNotRun(history.requests[it.request].orEmpty()) }
            if (allNotRun) {
                Violation(
                    name,
                    run.key.orEmpty(),
                    "ran on ${run.process}, yet no caller was told that it may have run",
                )
            } else {
                null
            }
        }
    }

    private fun refusedAsNotRun(events: List<HistoryEvent>): Boolean =
        events.any { it.kind == EventKind.REFUSED && it.certainty == NOT_RUN }
}
