package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerHandler
import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Queues requests that arrive before the node has read its state from the store, which takes less than a second after
 * a start.
 *
 * Workload: after a loss of many nodes, callers whose connections broke reconnect at once to the nodes that have just
 * started, and most of them do not try a third time.
 *
 * @param serving handles the requests once the node is ready.
 * @param refusing refuses requests that waited too long or that exceed the capacity of the queue.
 */
internal class StartupQueue(
    private val loop: EventLoop,
    private val serving: CallerHandler,
    private val refusing: CallerHandler,
) {
    private val queue = LinkedHashSet<WaitingRequest>()

    /** Queues a request for [serving] or, after the maximum wait, [refusing]; refuses it when the queue is full. */
    fun enqueue(request: CallerRequest, response: CallerResponse): CallerListener {
        if (queue.size >= MAX_QUEUED_REQUESTS) return refusing.handle(request, response)
        val queued = WaitingRequest(request, response, onDisconnected = queue::remove)
        queue.add(queued)
        loop.schedule({ if (queue.remove(queued)) queued.handOver(refusing) }, MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)
        return queued
    }

    /** Passes the queued requests to [serving], oldest first, once the node is ready. */
    fun drain() {
        val ready = queue.toList()
        queue.clear()
        ready.forEach { it.handOver(serving) }
    }

    private companion object {
        /** A few times the time from the start to the first complete read of the store. */
        const val MAX_WAIT_MILLIS = 1_500L

        /** More requests than a node receives within the wait during the busiest second of the deployment profiles. */
        const val MAX_QUEUED_REQUESTS = 500
    }
}
