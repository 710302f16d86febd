package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.PromptPartId
import io.apricotslip.api.id.WorkspaceId
import io.apricotslip.serving.fleet.ServedAdapter
import io.netty.handler.codec.http.HttpMethod

/**
 * Metadata from the headers of a caller's request.
 *
 * @property id id of this attempt of the caller; null when the caller sent none.
 * @property deadlineMillis time that the caller waits for the response, in milliseconds; null when not given.
 * @property adapter adapter, or base model, that must serve the request; null when not given.
 * @property lastEventId id of the last event of the stream that the caller received; null at the start.
 * @property resumedRequest id of the attempt that brought the first event of the stream that this one takes up; null
 * when none is named.
 * @property continuesStream whether the caller has events of the stream, also if what it says of them is unreadable.
 * @property promptTokens length of the prompt in tokens; 0 when unknown.
 * @property maxOutputTokens maximum length of the response in tokens; 0 when unknown.
 * @property sharedParts parts of the prompt that other requests may share, in order: all but the last one.
 * @property statedWorkspace the workspace that the request names; null when it names none, or several. Only a node of
 * the fleet may name one.
 */
public data class RequestMetadata(
    public val id: String?,
    public val deadlineMillis: Long? = null,
    public val adapter: ServedAdapter? = null,
    public val lastEventId: Long? = null,
    public val promptTokens: Int = 0,
    public val maxOutputTokens: Int = 0,
    public val sharedParts: List<PromptPartId> = emptyList(),
    public val resumedRequest: String? = null,
    public val continuesStream: Boolean = lastEventId != null || resumedRequest != null,
    public val statedWorkspace: WorkspaceId? = null,
) {
    /** Whether the response could not be told from a late one to another request on the same connection. */
    internal fun needsOwnConnection(method: HttpMethod): Boolean = id == null || method == HttpMethod.HEAD
}
