package io.apricotslip.wire.link

import io.apricotslip.wire.PeerEvent
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.receiveAsFlow
import org.tinylog.kotlin.Logger

/** Bounded buffer of the events of all links; a link that delivers into a full one waits. */
internal class Inbox(maxEvents: Int) {
    private class Entry(val event: PeerEvent, val size: Int, val budget: InboundBudget?)

    private val entries = Channel<Entry>(maxEvents)

    /** The events, each taken once. */
    val events: Flow<PeerEvent> = entries.receiveAsFlow().map {
        it.budget?.release(it.size)
        it.event
    }

    /** Delivers a change of a link. */
    suspend fun deliver(event: PeerEvent) {
        enqueue(Entry(event, 0, null))
    }

    /** Delivers a message of [size] bytes, held in [budget] until it is taken. */
    suspend fun deliver(event: PeerEvent.Received, size: Int, budget: InboundBudget) {
        budget.acquire(size)
        enqueue(Entry(event, size, budget))
    }

    /** Ends the events after those that wait. */
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
