package io.apricotslip.serving.workspace

import io.apricotslip.api.id.WorkspaceId

/**
 * A workspace of the desired state.
 *
 * @property keys digests of the API keys that identify its requests.
 * @property priority rank among workspaces, 0 is the highest; null when none is given.
 * @property allowance what it may send over all nodes; null when it is not limited.
 */
public data class Workspace(
    public val id: WorkspaceId,
    public val keys: Set<ApiKeyDigest>,
    public val priority: Int? = null,
    public val allowance: Allowance? = null,
)
