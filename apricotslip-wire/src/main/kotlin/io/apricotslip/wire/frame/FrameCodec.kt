package io.apricotslip.wire.frame

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Encodes the content of frames as CBOR. Fields keep short names, so that unknown ones can be skipped. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameCodec {
    private val cbor = Cbor {
        encodeDefaults = false
        ignoreUnknownKeys = true
        useDefiniteLengthEncoding = true
        alwaysUseByteString = true
    }

    fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(Frame.serializer(), frame)

    /** Decodes [bytes]; throws [FrameException] for anything that is not a frame. */
    fun decode(bytes: ByteArray): Frame = try {
        cbor.decodeFromByteArray(Frame.serializer(), bytes)
    } catch (e: RuntimeException) {
        throw FrameException("undecodable frame of ${bytes.size} bytes: ${e.message}", e)
    } catch (e: StackOverflowError) {
        // The library skips unknown fields recursively, so damaged bytes decide how deep it goes.
        throw FrameException("frame of ${bytes.size} bytes is nested too deeply", e)
    }
}
