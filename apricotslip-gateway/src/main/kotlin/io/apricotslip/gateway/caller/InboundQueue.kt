package io.apricotslip.gateway.caller

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil

/** What was received on a caller's connection and was not processed yet, in the order in which it was received. */
internal class InboundQueue(private val now: () -> Long) {
    /** A [message], the number of its request on the connection, from 1, and when it was received. */
    class Received(val message: Any, val requestNumber: Long, val receivedAt: Long)

    private val messages = ArrayDeque<Received>()
    private var bodyBytes = 0
    private var requests = 0L

    val isEmpty: Boolean
        get() = messages.isEmpty()

    /** Whether reading from the connection should pause. */
    val isFull: Boolean
        get() = messages.size >= MAX_MESSAGES || bodyBytes >= MAX_BODY_BYTES

    fun add(message: Any) {
        if (message is HttpRequest) requests++
        bodyBytes += bodyBytes(message)
        messages.addLast(Received(message, requests, now()))
    }

    fun take(): Received = messages.removeFirst().also { bodyBytes -= bodyBytes(it.message) }

    /** Releases all messages. */
    fun clear() {
        while (!isEmpty) ReferenceCountUtil.release(take().message)
    }

    private fun bodyBytes(message: Any): Int = if (message is HttpContent) message.content().readableBytes() else 0

    private companion object {
        const val MAX_MESSAGES = 64

        /** As much as is read from a connection in a turn. */
        const val MAX_BODY_BYTES = 16_384
    }
}
