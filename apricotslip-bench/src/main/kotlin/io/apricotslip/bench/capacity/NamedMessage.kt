package io.apricotslip.bench.capacity

import io.apricotslip.wire.Message

/** A [message] of typical size and its [name] in the table. */
internal class NamedMessage(val name: String, val message: Message) {
    val bytes: Int = FrameCodec.frameBytes(message)
    val micros: Double by lazy { FrameCodec.cpuMicros(message) }
}
