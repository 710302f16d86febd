package io.apricotslip.testutils.history

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.time.Ticker
import java.util.concurrent.ConcurrentLinkedQueue

/** Records what callers asked for and got. */
public class CallerRecorder(private val ticker: Ticker = Ticker.System) {
    private val recorded = ConcurrentLinkedQueue<HistoryEvent>()

    /** All events so far. */
    public fun events(): List<HistoryEvent> = recorded.toList()

    /** [request] asks for an answer by [adapter]; [expected] is the whole text that a right answer has. */
    public fun invoke(request: String, adapter: AdapterVersion, expected: String, via: String) {
        record(EventKind.INVOKE, request) {
            copy(adapter = adapter.adapter.value, version = adapter.version.value, text = expected, detail = via)
        }
    }

    /** [request] asks for a reservation under the idempotency [key]. */
    public fun invokeReservation(request: String, key: String, via: String) {
        record(EventKind.INVOKE, request) { copy(key = key, detail = via) }
    }

    /** A piece of the answer to [request] arrived; [offset] counts the pieces before it. */
    public fun chunk(request: String, offset: Int, text: String) {
        record(EventKind.CHUNK, request) { copy(offset = offset, text = text) }
    }

    /** The answer to [request] ended as whole; [adapter] and [revision] are what the answer says of itself. */
    public fun complete(request: String, adapter: AdapterVersion?, revision: Long?, text: String) {
        record(EventKind.COMPLETE, request) {
            copy(adapter = adapter?.adapter?.value, version = adapter?.version?.value, revision = revision, text = text)
        }
    }

    /** The reservation of [request] was answered. */
    public fun completeReservation(request: String, key: String, text: String) {
        record(EventKind.COMPLETE, request) { copy(key = key, text = text) }
    }

    /**
     * [request] was refused, or its connection was lost.
     *
     * @param certainty `not_run` or `unknown`, as the refusal says; `unknown` for a lost connection.
     * @param detail code of the refusal.
     */
    public fun refused(request: String, certainty: String, detail: String, key: String? = null) {
        record(EventKind.REFUSED, request) { copy(certainty = certainty, detail = detail, key = key) }
    }

    private fun record(kind: EventKind, request: String, build: HistoryEvent.() -> HistoryEvent) {
        recorded += HistoryEvent(ticker.nanos(), History.CALLER, kind, request = request).build()
    }
}
