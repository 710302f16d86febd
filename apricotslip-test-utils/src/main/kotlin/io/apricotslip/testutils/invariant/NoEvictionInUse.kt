package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/** No adapter is evicted while a request is in progress on it. Judged by what the engines recorded. */
public object NoEvictionInUse : Invariant {
    override val name: String = "no-eviction-in-use"

    override fun violations(history: History): List<Violation> =
        history.servers.groupBy { it.process }.flatMap { (server, events) -> onServer(server, events) }

    private fun onServer(server: String, events: List<HistoryEvent>): List<Violation> {
        val running = mutableMapOf<String, String>()
        return events.mapNotNull { event ->
            val adapter = "${event.adapter}@${event.version}"
            when (event.kind) {
                EventKind.RUN -> running[event.request.orEmpty()] = adapter
                EventKind.STREAM_END -> running.remove(event.request.orEmpty())
                else -> Unit
            }
            reason(event, running.filterValues { it == adapter }.keys)?.let { Violation(name, "$server/$adapter", it) }
        }
    }

    private fun reason(event: HistoryEvent, users: Set<String>): String? = when {
        event.kind == EventKind.EVICT && users.isNotEmpty() -> "evicted while ${users.joinToString()} ran on it"

        event.kind == EventKind.EVICT && event.detail == IN_USE -> "evicted while in use, says the engine"

        event.kind == EventKind.STREAM_END && event.detail.orEmpty().startsWith(EVICTED) ->
            "an evict ended ${event.request}"

        else -> null
    }

    private const val IN_USE = "in_use"
    private const val EVICTED = "adapter_evicted"
}
