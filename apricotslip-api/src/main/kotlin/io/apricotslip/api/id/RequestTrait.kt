package io.apricotslip.api.id

import kotlinx.serialization.Serializable

/**
 * Something that requests may have in common and that may crash the servers that run them: a part of a prompt, or the
 * whole request (method, path, caller and body), which comes again as another attempt.
 */
@Serializable
@JvmInline
public value class RequestTrait private constructor(public val value: String) {
    /** Whether the trait is a whole request, and not a part that different requests share. */
    public val isWholeRequest: Boolean
        get() = value.startsWith(REQUEST_PREFIX)

    /** Whether the trait stands for all requests of a service. */
    public val isAnyRequest: Boolean
        get() = value.startsWith(SERVICE_PREFIX)

    override fun toString(): String = value

    public companion object {
        private const val REQUEST_PREFIX = '='
        private const val SERVICE_PREFIX = '*'

        /** The prompt part [part], whose id must not begin like another kind of trait. */
        public fun part(part: PromptPartId): RequestTrait {
            require(part.value.isNotEmpty() && part.value.first() !in listOf(REQUEST_PREFIX, SERVICE_PREFIX)) {
                "prompt part ${part.value}: expected an id that begins with neither $REQUEST_PREFIX nor $SERVICE_PREFIX"
            }
            return RequestTrait(part.value)
        }

        /** The whole request with [digest]. */
        public fun request(digest: String): RequestTrait = RequestTrait("$REQUEST_PREFIX$digest")

        /** Any request of [service]. */
        public fun any(service: ServiceId): RequestTrait = RequestTrait("$SERVICE_PREFIX$service")
    }
}
