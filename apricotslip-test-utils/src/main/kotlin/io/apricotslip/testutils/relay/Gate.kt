package io.apricotslip.testutils.relay

import java.time.Duration
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Decides what happens to the bytes of one direction of one connection. */
internal class Gate {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var flow: Flow = Flow.Pass
    private var isSilenced = false

    /** Changes the flow; a gate that is silenced stays so. */
    fun set(next: Flow) {
        lock.withLock {
            if (next is Flow.Discard) isSilenced = true
            flow = next
            changed.signalAll()
        }
    }

    /** Waits until bytes may go on; false when they are to be discarded. */
    fun await(): Boolean {
        val current =
            lock.withLock {
                while (flow is Flow.Hold && !isSilenced) changed.await()
                if (isSilenced) Flow.Discard else flow
            }
        if (current is Flow.Delay) Thread.sleep(current.time.toMillis())
        return current !is Flow.Discard
    }

    /** Flow of bytes. */
    internal sealed class Flow {
        data object Pass : Flow()

        /** Bytes wait, and arrive late when the gate opens, as after lost packets. */
        data object Hold : Flow()

        /** Bytes vanish for good, since a stream with a hole is no use. */
        data object Discard : Flow()

        /** Each piece waits for [time]. */
        data class Delay(val time: Duration) : Flow()
    }
}
