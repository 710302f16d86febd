package io.apricotslip.serving.workspace

import io.apricotslip.api.id.WorkspaceId

/**
 * Decides to whom a request belongs and whether it may run.
 *
 * Workload: callers that compete for capacity, whose keys are added and revoked while their requests are under way,
 * partly on connections that stay open. The decision depends on the desired state in force and on the request alone, so
 * that it is the same at each node that has read the same state.
 */
public object KeyCheck {
    /** Who sent a request to this node. */
    public sealed class Sender {
        /** A caller; what it says of its workspace is worth nothing. */
        public data object Caller : Sender()

        /**
         * Another node, which has proven that it belongs to the fleet.
         *
         * @property workspace the workspace that it has shown to have identified; null when the request has none, or
         *   only one that a caller may have stated.
         */
        public data class Node(public val workspace: WorkspaceId?) : Sender()
    }

    /** What becomes of a request. */
    public sealed class Verdict {
        /** The request may run; [identity] is null when the desired state has no workspaces, so that none is known. */
        public data class Admitted(public val identity: Identity?) : Verdict()

        /** The request must not run, since what it [presented] identifies no workspace. */
        public data class Refused(public val presented: String) : Verdict()
    }

    /**
     * The verdict on a request with [credential] from [sender].
     *
     * @param workspaces the workspaces of the desired state in force; null when requests need no key.
     * @param allowsAnonymous whether the route of the request serves requests without a key.
     */
    public fun check(
        workspaces: Workspaces?,
        allowsAnonymous: Boolean,
        credential: Credential,
        sender: Sender,
    ): Verdict {
        if (workspaces == null) return Verdict.Admitted(identity = null)
        return when (val identity = identify(workspaces, credential, sender)) {
            is Identity.Known -> Verdict.Admitted(identity)
            Identity.Anonymous ->
                if (allowsAnonymous) Verdict.Admitted(identity) else Verdict.Refused(PRESENTED_NOTHING)
            Identity.Unknown ->
                Verdict.Refused(if (credential == Credential.Invalid) PRESENTED_NO_KEY else PRESENTED_UNKNOWN_KEY)
        }
    }

    /**
     * A node that has checked the key removes it before it passes the request on, so one that comes with a credential
     * was not checked: its sender is of an older build, or has not read yet that there are workspaces. The name that a
     * node has identified is valid here even if this node has not read of that workspace yet, or not any more.
     */
    private fun identify(workspaces: Workspaces, credential: Credential, sender: Sender): Identity {
        val stated = (sender as? Sender.Node)?.workspace
        if (stated == null || credential != Credential.None) return workspaces.identify(credential)
        return Identity.Known(workspaces[stated] ?: Workspace(stated, keys = emptySet()))
    }

    private const val PRESENTED_NOTHING = "nothing"
    private const val PRESENTED_NO_KEY = "no_single_key"
    private const val PRESENTED_UNKNOWN_KEY = "unknown_key"
}
