package io.apricotslip.bench.capacity

import io.apricotslip.wire.Message

/** A [message] of a usual size and its [name] for the table. */
internal class NamedMessage(val name: String, val message: Message) {
    val bytes: Int = FrameSize.of(message)
    val micros: Double by lazy { FrameSize.micros(message) }
}
