package io.apricotslip.serving.workspace

/** What a request presents to identify its workspace. */
public sealed class Credential {
    /** The request presents nothing. */
    public data object None : Credential()

    /** The request presents the key with [digest]. */
    public data class Key(public val digest: ApiKeyDigest) : Credential()

    /** What the request presents is no single key. */
    public data object Invalid : Credential()
}
