package io.apricotslip.standins.engine

import io.apricotslip.api.id.AdapterVersion
import java.security.MessageDigest

/**
 * Text that an engine generates: a function of adapter, version, prompt and offset, so that a checker can compute
 * the whole answer again. A token is `club-1@v2#9f86d081884c7d65:3 `.
 */
public object AnswerText {
    private const val HASH_BYTES = 8

    /** The token at [offset] of the answer by [adapter] to [prompt]. */
    public fun token(adapter: AdapterVersion, prompt: String, offset: Int): String =
        tokenOf(adapter, promptHash(prompt), offset)

    /** The whole answer of [total] tokens. */
    public fun fullText(adapter: AdapterVersion, prompt: String, total: Int): String {
        val hash = promptHash(prompt)
        return (0 until total).joinToString("") { tokenOf(adapter, hash, it) }
    }

    /** The first bytes of the SHA-256 of [prompt] in lower-case hex. */
    public fun promptHash(prompt: String): String {
        val digest = MessageDigest.getInstance("SHA-256").digest(prompt.toByteArray())
        return digest.take(HASH_BYTES).joinToString("") { "%02x".format(it) }
    }

    internal fun tokenOf(adapter: AdapterVersion, promptHash: String, offset: Int): String =
        "$adapter#$promptHash:$offset "
}
