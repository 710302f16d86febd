package io.apricotslip.standins.engine

import io.apricotslip.api.id.AdapterVersion
import java.security.MessageDigest

/**
 * Text that an engine generates. It is a pure function of adapter, version, prompt and offset, so that a checker can
 * recompute the complete answer. A token is `club-1@v2#9f86d081884c7d65:3 `.
 */
public object AnswerText {
    private const val HASH_PREFIX_BYTES = 8

    /** Returns the token at [offset] in the answer of [adapter] to [prompt]. */
    public fun token(adapter: AdapterVersion, prompt: String, offset: Int): String =
        tokenOf(adapter, promptHash(prompt), offset)

    /** Returns the complete answer of [adapter] to [prompt], of [total] tokens. */
    public fun fullText(adapter: AdapterVersion, prompt: String, total: Int): String {
        val hash = promptHash(prompt)
        return (0 until total).joinToString("") { tokenOf(adapter, hash, it) }
    }

    /** Returns the first bytes of the SHA-256 digest of [prompt] in lower-case hex. */
    public fun promptHash(prompt: String): String {
        val digest = MessageDigest.getInstance("SHA-256").digest(prompt.toByteArray())
        return digest.take(HASH_PREFIX_BYTES).joinToString("") { "%02x".format(it) }
    }

    internal fun tokenOf(adapter: AdapterVersion, promptHash: String, offset: Int): String =
        "$adapter#$promptHash:$offset "
}
