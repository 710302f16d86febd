package io.apricotslip.testutils.relay

import java.time.Duration
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Controls the flow of bytes in one direction of a relayed connection. */
internal class Gate {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var flow: Flow = Flow.Pass
    private var isDiscarding = false

    /** Changes the flow. Once [Flow.Discard] was set, the gate discards bytes permanently. */
    fun set(next: Flow) {
        lock.withLock {
            if (next is Flow.Discard) isDiscarding = true
            flow = next
            changed.signalAll()
        }
    }

    /** Blocks while bytes are held or delayed; returns false if they must be discarded. */
    fun await(): Boolean {
        val current =
            lock.withLock {
                while (flow is Flow.Hold && !isDiscarding) changed.await()
                if (isDiscarding) Flow.Discard else flow
            }
        if (current is Flow.Delay) Thread.sleep(current.time.toMillis())
        return current !is Flow.Discard
    }

    /** Treatment of the bytes that reach the gate. */
    internal sealed class Flow {
        data object Pass : Flow()

        /** Bytes are held until the flow changes and then arrive late, as after TCP retransmissions. */
        data object Hold : Flow()

        /** Bytes are discarded permanently, since a stream with missing bytes cannot be resumed. */
        data object Discard : Flow()

        /** Each chunk of bytes is delayed by [time]. */
        data class Delay(val time: Duration) : Flow()
    }
}
