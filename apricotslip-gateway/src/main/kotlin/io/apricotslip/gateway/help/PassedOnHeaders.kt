package io.apricotslip.gateway.help

import io.apricotslip.api.id.WorkspaceId
import io.netty.handler.codec.http.HttpHeaders
import java.security.MessageDigest
import java.util.Base64

/** Headers of requests that one node passes on to another; they reach neither callers nor backend servers. */
internal object PassedOnHeaders {
    /** The token of the helper, which only nodes of the fleet know. */
    private const val TOKEN = "Fleet-Passed-On"

    /**
     * The digest of the workspace that the sender has identified and the helper's token. A sender that has checked no
     * key forwards the name that its caller stated beside the token, so the token alone does not vouch for the name.
     * The field does not hold the token itself, since helpers of older builds forward unknown fields to servers.
     */
    private const val CHECKED_WORKSPACE = "Fleet-Checked-Workspace"

    /** The same token in the response of a helper that cannot help. */
    private const val DECLINED = "Fleet-Declined"

    fun setToken(headers: HttpHeaders, token: String) {
        headers.set(TOKEN, token)
    }

    /** Removes the token from [headers] and returns it; callers may send such a header too. */
    fun removeToken(headers: HttpHeaders): String? = headers.get(TOKEN).also { headers.remove(TOKEN) }

    /** States in [headers] for the helper with [token] that the sender has identified [workspace]. */
    fun setCheckedWorkspace(headers: HttpHeaders, token: String, workspace: WorkspaceId) {
        headers.set(CHECKED_WORKSPACE, digest(token, workspace))
    }

    /** Removes the digest of the workspace from [headers] and returns it; null if there is none, or several. */
    fun removeCheckedWorkspace(headers: HttpHeaders): String? =
        headers.getAll(CHECKED_WORKSPACE).singleOrNull().also { headers.remove(CHECKED_WORKSPACE) }

    /** Whether [digest] shows that a node that knows [token] has identified [workspace]; takes constant time. */
    fun isCheckedWorkspace(digest: String, token: String, workspace: WorkspaceId): Boolean =
        MessageDigest.isEqual(digest.toByteArray(), digest(token, workspace).toByteArray())

    /** The token comes last, so that the digest for one workspace cannot be extended to that of a longer name. */
    private fun digest(token: String, workspace: WorkspaceId): String {
        val bytes = MessageDigest.getInstance("SHA-256").digest("${workspace.value}\n$token".toByteArray())
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    fun setDeclined(headers: HttpHeaders, token: String) {
        headers.set(DECLINED, token)
    }

    /** Whether the helper with [token] declined; a backend server that sends such a header does not know the token. */
    fun isDeclined(headers: HttpHeaders, token: String): Boolean = headers.get(DECLINED) == token
}
