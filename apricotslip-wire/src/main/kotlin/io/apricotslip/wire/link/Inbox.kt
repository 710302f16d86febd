package io.apricotslip.wire.link

import io.apricotslip.wire.PeerEvent
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.receiveAsFlow
import org.tinylog.kotlin.Logger

/** Bounded buffer of the events of all links; a link that delivers an event suspends while the buffer is full. */
internal class Inbox(maxEvents: Int) {
    private class Entry(val event: PeerEvent, val bytes: Int, val budget: InboundBudget?)

    private val entries = Channel<Entry>(maxEvents)

    /** The events, each delivered to one collector. */
    val events: Flow<PeerEvent> = entries.receiveAsFlow().map {
        it.budget?.release(it.bytes)
        it.event
    }

    /** Delivers an event that counts towards no inbound budget. */
    suspend fun deliver(event: PeerEvent) {
        enqueue(Entry(event, 0, null))
    }

    /** Delivers a message of [bytes] bytes, which [budget] counts until the message is consumed. */
    suspend fun deliver(event: PeerEvent.Received, bytes: Int, budget: InboundBudget) {
        budget.acquire(bytes)
        enqueue(Entry(event, bytes, budget))
    }

    /** Completes [events] after the buffered ones. */
    fun close() {
        entries.close()
    }

    private suspend fun enqueue(entry: Entry) {
        try {
            entries.send(entry)
        } catch (e: ClosedSendChannelException) {
            Logger.trace { "event=event_dropped step=events peer=${entry.event.peer}" }
        }
    }
}
