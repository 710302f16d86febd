package io.apricotslip.gateway.caller

import io.apricotslip.gateway.exchange.RequestOwner
import io.apricotslip.serving.allowance.Permit
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * A request of a caller that was received completely.
 *
 * @property uri path and query as received.
 * @property arrivedAt time when its last byte was received, in milliseconds of the monotonic clock.
 * @property place its place on the caller's connection; null if it came on none.
 */
public class CallerRequest(
    public val method: HttpMethod,
    public val uri: String,
    public val headers: HttpHeaders,
    public val body: ByteBuf,
    public val arrivedAt: Long,
    public val place: CallerPlace? = null,
) {
    /** Token with which another node of the fleet has passed the request on; null if it came from a caller. */
    internal var passedOnToken: String? = null

    /** Digest by which a node that has passed the request on shows that it has identified the stated workspace. */
    internal var checkedWorkspaceDigest: String? = null

    /** To whom the request belongs; [RequestOwner.Unchecked] until it was admitted. */
    internal var owner: RequestOwner = RequestOwner.Unchecked

    /** What the request took from the allowance of its workspace, given back when it has not run and will not. */
    internal var permit: Permit = Permit.Free

    /** The path of [uri], without the query. */
    public val path: String
        get() = uri.substringBefore('?')
}
