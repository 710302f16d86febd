package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerHandler
import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Keeps requests that arrive while the node has not read what it serves, which takes less than a second after a start.
 *
 * The load that it answers: after a loss of many nodes, callers whose connections broke come at once to those that just
 * started, and most of them do not try a third time.
 *
 * @param serves takes the requests once the node is ready.
 * @param refuses answers those that waited too long, or for which there is no room.
 */
internal class EarlyRequests(
    private val loop: EventLoop,
    private val serves: CallerHandler,
    private val refuses: CallerHandler,
) {
    private inner class Waiting(val request: CallerRequest, val answer: CallerResponse) : CallerListener {
        private var taken: CallerListener? = null
        private var left = false

        fun pass(to: CallerHandler) {
            if (!left) taken = to.handle(request, answer)
        }

        override fun onCallerDisconnected() {
            left = true
            waiting.remove(this)
            taken?.onCallerDisconnected()
        }

        override fun onWritabilityChanged(writable: Boolean) {
            taken?.onWritabilityChanged(writable)
        }
    }

    private val waiting = LinkedHashSet<Waiting>()

    /** Keeps a request; [serves] or [refuses] takes it later. */
    fun keep(request: CallerRequest, answer: CallerResponse): CallerListener {
        if (waiting.size >= MOST_WAITING) return refuses.handle(request, answer)
        val kept = Waiting(request, answer)
        waiting.add(kept)
        loop.schedule({ if (waiting.remove(kept)) kept.pass(refuses) }, LONGEST_MILLIS, TimeUnit.MILLISECONDS)
        return kept
    }

    /** The node serves: passes on what waited, oldest first. */
    fun release() {
        val ready = waiting.toList()
        waiting.clear()
        ready.forEach { it.pass(serves) }
    }

    private companion object {
        /** A few times the time from the start to the first whole read of the store. */
        const val LONGEST_MILLIS = 1_500L

        /** More requests than a node gets in that time at the deployments' busiest second. */
        const val MOST_WAITING = 500
    }
}
