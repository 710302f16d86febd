package io.apricotslip.api.id

import kotlinx.serialization.Serializable

/**
 * Key of a stream among nodes: a digest of the id of the caller's attempt that began it. Ids are text of callers, so
 * that their length is not bounded; the length of a key is.
 */
@Serializable
@JvmInline
public value class StreamKey private constructor(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** The key of the stream that attempt [requestId] began. */
        public fun of(requestId: String): StreamKey {
            val digest = ShortDigest.start().apply { update(requestId.encodeToByteArray()) }
            return StreamKey(ShortDigest.encode(digest))
        }
    }
}
