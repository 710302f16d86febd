package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/** Every request runs on, and is answered by, exactly the adapter and version that it asked for. */
public object ExactAdapter : Invariant {
    override val name: String = "exact-adapter"

    override fun violations(history: History): List<Violation> {
        val asked = history.callers.filter {
            it.kind == EventKind.INVOKE && it.adapter != null
        }.associateBy { it.request }
        val answers = history.callers.filter { it.kind == EventKind.COMPLETE && it.request in asked }
        val runs = history.servers.filter { it.kind == EventKind.RUN }
        return answers.mapNotNull { compare(asked.getValue(it.request), it, "answered by") } +
            runs.mapNotNull { run -> asked[run.base()]?.let { compare(it, run, "run on ${run.server} by") } }
    }

    private fun compare(asked: HistoryEvent, event: HistoryEvent, how: String): Violation? {
        if (asked.adapter == event.adapter && asked.version == event.version) return null
        val reason = "asked for ${asked.adapter}@${asked.version}, $how ${event.adapter}@${event.version}"
        return Violation(name, asked.request.orEmpty(), reason)
    }

    private fun HistoryEvent.base(): String? = request?.let(History::requestOf)
}
