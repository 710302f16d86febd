package io.apricotslip.bench.capacity

import io.apricotslip.wire.Message
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** Encodes messages as the links of apricotslip-wire do, whose codec is internal. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameSize {
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

    /** Bytes of the frame of [message] on a link, without those of TCP and IP. */
    fun of(message: Message): Int = encode(message).size + HEADER_BYTES

    /** Microseconds of CPU to encode and decode [message]. */
    fun micros(message: Message): Double = CpuMeter.micros(1) { decode(encode(message)) }
}
