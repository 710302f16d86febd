package io.apricotslip.wire.frame

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Encodes the content of frames as CBOR maps. Fields are keyed by short names, so that unknown ones can be skipped. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameCodec {
    private val cbor = Cbor {
        encodeDefaults = false
        ignoreUnknownKeys = true
        useDefiniteLengthEncoding = true
        alwaysUseByteString = true
    }

    fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(Frame.serializer(), frame)

    /** Decodes [bytes]; throws [FrameException] for anything that is not a valid frame. */
    fun decode(bytes: ByteArray): Frame = try {
        cbor.decodeFromByteArray(Frame.serializer(), bytes)
    } catch (e: RuntimeException) {
        throw FrameException("undecodable frame of ${bytes.size} bytes: ${e.message}", e)
    } catch (e: StackOverflowError) {
        // kotlinx.serialization skips unknown fields recursively, so corrupt input determines the recursion depth.
        throw FrameException("frame of ${bytes.size} bytes is nested too deeply", e)
    }
}
