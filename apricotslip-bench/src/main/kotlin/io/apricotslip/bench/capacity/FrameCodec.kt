package io.apricotslip.bench.capacity

import io.apricotslip.wire.Message
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** Encodes messages like the links of apricotslip-wire, whose own codec is internal to that module. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameCodec {
    @Serializable
    private class Content(@SerialName("m") val message: Message)

    private const val HEADER_BYTES = Int.SIZE_BYTES
    private val cbor =
        Cbor {
            encodeDefaults = false
            ignoreUnknownKeys = true
            useDefiniteLengthEncoding = true
            alwaysUseByteString = true
        }

    fun encode(message: Message): ByteArray = cbor.encodeToByteArray(Content.serializer(), Content(message))

    fun decode(bytes: ByteArray): Message = cbor.decodeFromByteArray(Content.serializer(), bytes).message

    /** Size in bytes of the frame of [message] on a link, without TCP and IP headers. */
    fun frameBytes(message: Message): Int = encode(message).size + HEADER_BYTES

    /** CPU time in microseconds to encode and decode [message] once. */
    fun cpuMicros(message: Message): Double = CpuMeter.micros(1) { decode(encode(message)) }
}
