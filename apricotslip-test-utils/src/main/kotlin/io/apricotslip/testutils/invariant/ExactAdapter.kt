package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/** Every request is executed on, and answered by, exactly the adapter and version that it requested. */
public object ExactAdapter : Invariant {
    override val name: String = "exact-adapter"

    override fun violations(history: History): List<Violation> {
        val requested = history.callers.filter {
            it.kind == EventKind.INVOKE && it.adapter != null
        }.associateBy { it.request }
        val completions = history.callers.filter { it.kind == EventKind.COMPLETE && it.request in requested }
        val runs = history.servers.filter { it.kind == EventKind.RUN }
        return completions.mapNotNull { compare(requested.getValue(it.request), it, "answered by") } +
            runs.mapNotNull { run ->
                requested[run.callerRequest()]?.let { compare(it, run, "run on ${run.server} by") }
            }
    }

    private fun compare(requested: HistoryEvent, event: HistoryEvent, relation: String): Violation? {
        if (requested.adapter == event.adapter && requested.version == event.version) return null
        val reason = "requested ${requested.adapter}@${requested.version}, $relation ${event.adapter}@${event.version}"
        return Violation(name, requested.request.orEmpty(), reason)
    }

    private fun HistoryEvent.callerRequest(): String? = request?.let(History::requestOf)
}
