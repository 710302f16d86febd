package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/** No adapter is evicted while a request is running on it, according to the histories of the engines. */
public object NoEvictionInUse : Invariant {
    override val name: String = "no-eviction-in-use"

    override fun violations(history: History): List<Violation> =
        history.servers.groupBy { it.process }.flatMap { (server, events) -> violationsOnServer(server, events) }

    private fun violationsOnServer(server: String, events: List<HistoryEvent>): List<Violation> {
        val adapterByRequest = mutableMapOf<String, String>()
        return events.mapNotNull { event ->
            val adapter = "${event.adapter}@${event.version}"
            when (event.kind) {
                EventKind.RUN -> adapterByRequest[event.request.orEmpty()] = adapter
                EventKind.STREAM_END -> adapterByRequest.remove(event.request.orEmpty())
                else -> Unit
            }
            evictionError(event, adapterByRequest.filterValues { it == adapter }.keys)?.let {
                Violation(name, "$server/$adapter", it)
            }
        }
    }

    private fun evictionError(event: HistoryEvent, activeRequests: Set<String>): String? = when {
        event.kind == EventKind.EVICT && activeRequests.isNotEmpty() ->
            "evicted while ${activeRequests.joinToString()} ran on it"

        event.kind == EventKind.EVICT && event.detail == IN_USE_DETAIL ->
            "evicted while in use, as reported by the engine"

        event.kind == EventKind.STREAM_END && event.detail.orEmpty().startsWith(EVICTED_DETAIL_PREFIX) ->
            "an eviction terminated ${event.request}"

        else -> null
    }

    private const val IN_USE_DETAIL = "in_use"
    private const val EVICTED_DETAIL_PREFIX = "adapter_evicted"
}
