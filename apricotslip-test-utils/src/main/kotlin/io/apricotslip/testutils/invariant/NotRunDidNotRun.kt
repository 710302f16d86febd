package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/** A request whose caller was told `not_run` ran on no backend server, neither before nor after. */
public object NotRunDidNotRun : Invariant {
    override val name: String = "not-run-did-not-run"

    private const val NOT_RUN = "not_run"

    override fun violations(history: History): List<Violation> = streams(history) + reservations(history)

    private fun streams(history: History): List<Violation> {
        val runs = history.servers.filter { it.kind == EventKind.RUN }
        val byRequest = runs.groupBy { History.requestOf(it.request.orEmpty()) }
        return history.requests.filterValues(::toldNotRun).mapNotNull { (request, _) ->
            byRequest[request]?.let { Violation(name, request, "ran on ${it.joinToString { run -> run.process }}") }
        }
    }

    /** A run belongs to one of the requests with its key that were made before it. */
    private fun reservations(history: History): List<Violation> {
        val invokes = history.callers.filter { it.kind == EventKind.INVOKE && it.key != null }.groupBy { it.key }
        return history.servers.filter { it.kind == EventKind.RESERVE }.mapNotNull { run ->
            val candidates = invokes[run.key].orEmpty().filter { it.at <= run.at }
            val allNotRun = candidates.all { toldNotRun(history.requests[it.request].orEmpty()) }
            if (allNotRun) {
                Violation(
                    name,
                    run.key.orEmpty(),
                    "ran on ${run.process}, yet no caller may think so",
                )
            } else {
                null
            }
        }
    }

    private fun toldNotRun(events: List<HistoryEvent>): Boolean =
        events.any { it.kind == EventKind.REFUSED && it.certainty == NOT_RUN }
}
