package io.apricotslip.wire.link

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Bytes received on one link that the subscriber has not taken yet. A single frame always fits an empty budget. */
internal class InboundBudget(private val maxBytes: Int) {
    private val held = MutableStateFlow(0L)

    /** Waits until [size] more bytes fit, then holds them. Called by one reader. */
    suspend fun acquire(size: Int) {
        held.first { it == 0L || it + size <= maxBytes }
        held.update { it + size }
    }

    /** Frees [size] bytes. */
    fun release(size: Int) {
        held.update { it - size }
    }
}
