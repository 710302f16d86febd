package io.apricotslip.serving.workspace

import io.apricotslip.api.id.WorkspaceId

/** The workspaces of a desired state. A key that several of [all] hold belongs to the first of them. */
public data class Workspaces(public val all: List<Workspace>) {
    private val byKey = HashMap<ApiKeyDigest, Workspace>().also { map ->
        for (workspace in all) for (key in workspace.keys) map.putIfAbsent(key, workspace)
    }
    private val byId = all.associateBy { it.id }

    public operator fun get(id: WorkspaceId): Workspace? = byId[id]

    /** To whom a request with [credential] belongs. */
    public fun identify(credential: Credential): Identity = when (credential) {
        Credential.None -> Identity.Anonymous
        Credential.Invalid -> Identity.Unknown
        is Credential.Key -> byKey[credential.digest]?.let(Identity::Known) ?: Identity.Unknown
    }
}
