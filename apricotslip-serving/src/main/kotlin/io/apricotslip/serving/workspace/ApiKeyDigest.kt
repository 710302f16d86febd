package io.apricotslip.serving.workspace

import java.security.MessageDigest
import java.util.HexFormat

/**
 * The SHA-256 digest of an API key.
 *
 * Keys are looked up by their digest, so that the time of the lookup does not tell how much of a key was right, and the
 * text of a key is not kept.
 */
@JvmInline
public value class ApiKeyDigest private constructor(private val hex: String) {
    override fun toString(): String = "ApiKeyDigest"

    public companion object {
        private const val ALGORITHM = "SHA-256"

        /** The digest of [key]. */
        public fun of(key: String): ApiKeyDigest {
            val bytes = MessageDigest.getInstance(ALGORITHM).digest(key.encodeToByteArray())
            return ApiKeyDigest(HexFormat.of().formatHex(bytes))
        }
    }
}
