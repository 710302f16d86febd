package io.apricotslip.serving.workspace

/** To whom a request belongs. */
public sealed class Identity {
    /** The request presents a key of [workspace]. */
    public data class Known(public val workspace: Workspace) : Identity()

    /** The request presents no key. */
    public data object Anonymous : Identity()

    /** The request presents something that is no key of any workspace. */
    public data object Unknown : Identity()
}
