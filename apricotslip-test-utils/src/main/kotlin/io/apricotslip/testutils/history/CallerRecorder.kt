package io.apricotslip.testutils.history

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.time.Ticker
import java.util.concurrent.ConcurrentLinkedQueue

/** Records the requests that callers send and the answers that they receive. */
public class CallerRecorder(private val ticker: Ticker = Ticker.System) {
    private val recorded = ConcurrentLinkedQueue<HistoryEvent>()

    /** Returns a snapshot of the events recorded so far. */
    public fun events(): List<HistoryEvent> = recorded.toList()

    /** Records that [request] was sent to VM [via] for [adapter]; [expected] is the full text of a correct answer. */
    public fun invoke(request: String, adapter: AdapterVersion, expected: String, via: String) {
        record(EventKind.INVOKE, request) {
            copy(adapter = adapter.adapter.value, version = adapter.version.value, text = expected, detail = via)
        }
    }

    /** Records that the reservation [request] was sent to VM [via] with the idempotency [key]. */
    public fun invokeReservation(request: String, key: String, via: String) {
        record(EventKind.INVOKE, request) { copy(key = key, detail = via) }
    }

    /** Records a received chunk of the answer to [request]; [offset] is the number of chunks before it. */
    public fun chunk(request: String, offset: Int, text: String) {
        record(EventKind.CHUNK, request) { copy(offset = offset, text = text) }
    }

    /** Records that [request] completed; [adapter] and [revision] are taken from the response headers. */
    public fun complete(request: String, adapter: AdapterVersion?, revision: Long?, text: String) {
        record(EventKind.COMPLETE, request) {
            copy(adapter = adapter?.adapter?.value, version = adapter?.version?.value, revision = revision, text = text)
        }
    }

    /** Records that the reservation [request] was answered. */
    public fun completeReservation(request: String, key: String, text: String) {
        record(EventKind.COMPLETE, request) { copy(key = key, text = text) }
    }

    /**
     * Records that [request] was refused or that its connection was lost.
     *
     * @param certainty outcome given in the refusal, `not_run` or `unknown`; `unknown` for a lost connection.
     * @param detail error code of the refusal.
     */
    public fun refused(request: String, certainty: String, detail: String, key: String? = null) {
        record(EventKind.REFUSED, request) { copy(certainty = certainty, detail = detail, key = key) }
    }

    private fun record(kind: EventKind, request: String, build: HistoryEvent.() -> HistoryEvent) {
        recorded += HistoryEvent(ticker.nanos(), History.CALLER, kind, request = request).build()
    }
}
