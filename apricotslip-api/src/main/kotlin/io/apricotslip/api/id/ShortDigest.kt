package io.apricotslip.api.id

import java.security.MessageDigest
import java.util.Base64

/** Digests of text and bytes of callers, whose length is not bounded, for messages between nodes. */
public object ShortDigest {
    /** Short in messages between nodes, and too long to be met by chance or by trying. */
    private const val BYTES = 12

    /** An empty digest, to be updated and then given to [encode]. */
    public fun start(): MessageDigest = MessageDigest.getInstance("SHA-256")

    /** Ends [digest]; returns the first bytes of it as URL-safe text. */
    public fun encode(digest: MessageDigest): String =
        Base64.getUrlEncoder().encodeToString(digest.digest().copyOf(BYTES))
}
