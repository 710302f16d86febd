package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.RequestTrait
import io.apricotslip.api.id.ShortDigest
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.serving.crash.CrashAttribution
import io.apricotslip.serving.workspace.Identity
import io.netty.handler.codec.http.HttpHeaderNames

/** The traits of one request that may crash servers. */
internal class RequestTraits(private val request: CallerRequest, metadata: RequestMetadata) {
    /** The shared parts of the prompt. */
    val parts: List<RequestTrait> = metadata.sharedParts.map(RequestTrait::part)

    private val wholeKnown = lazy(LazyThreadSafetyMode.NONE) { RequestTrait.request(digest()) }

    /** The whole request; it costs a digest of the body, which must still be held. */
    val whole: RequestTrait by wholeKnown

    /** Makes the traits independent of the body, which is released when the request ends. */
    fun keep() {
        wholeKnown.value
    }

    /** All traits. */
    val all: List<RequestTrait>
        get() = parts + whole

    /** All traits with their positions, of which the last is in the fewest other requests. */
    fun positions(): Map<RequestTrait, Int> =
        parts.withIndex().associate { it.value to it.index } + (whole to CrashAttribution.WHOLE_REQUEST_POSITION)

    override fun toString(): String = "parts=$parts" + if (wholeKnown.isInitialized()) " digest=$whole" else ""

    /**
     * Of the headers only those that name the host and the caller count, as others differ between two attempts of the
     * same request. So does the address from which it comes. A caller whose key was checked counts by its workspace:
     * its key is not known to another node that serves the request for this one.
     */
    private fun digest(): String {
        val digest = ShortDigest.start()
        val host = request.headers.get(HttpHeaderNames.HOST).orEmpty().lowercase()
        val caller = when (val identity = request.owner.identity) {
            null -> request.headers.get(HttpHeaderNames.AUTHORIZATION).orEmpty()
            is Identity.Known -> identity.workspace.id.value
            Identity.Anonymous, Identity.Unknown -> ""
        }
        for (field in listOf(request.method.name(), host, request.uri, caller)) {
            digest.update(field.encodeToByteArray())
            digest.update(0)
        }
        request.body.nioBuffers().forEach(digest::update)
        return ShortDigest.encode(digest)
    }
}
