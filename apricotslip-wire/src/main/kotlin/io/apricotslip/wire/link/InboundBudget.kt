package io.apricotslip.wire.link

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/**
 * Limits the bytes received on one link that the subscriber has not consumed yet. An empty budget accepts a frame of
 * any size.
 */
internal class InboundBudget(private val maxBytes: Int) {
    private val heldBytes = MutableStateFlow(0L)

    /** Suspends until [bytes] more fit, then reserves them. Must be called by a single reader. */
    suspend fun acquire(bytes: Int) {
        heldBytes.first { it == 0L || it + bytes <= maxBytes }
        heldBytes.update { it + bytes }
    }

    /** Releases [bytes] that were reserved by [acquire]. */
    fun release(bytes: Int) {
        heldBytes.update { it - bytes }
    }
}
