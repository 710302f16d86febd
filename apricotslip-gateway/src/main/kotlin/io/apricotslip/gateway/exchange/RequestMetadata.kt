package io.apricotslip.gateway.exchange

import io.apricotslip.serving.fleet.ServedAdapter

/**
 * What the headers of a caller's request say.
 *
 * @property id name of this attempt; null when the caller gave none.
 * @property deadlineMillis how long the caller waits; null when it does not say.
 * @property lastEventId last event of the stream that the caller has; null at the start.
 * @property promptTokens length of the prompt; 0 when unknown.
 * @property maxOutputTokens largest length of the answer; 0 when unknown.
 */
public data class RequestMetadata(
    public val id: String?,
    public val deadlineMillis: Long? = null,
    public val adapter: ServedAdapter? = null,
    public val lastEventId: Long? = null,
    public val promptTokens: Int = 0,
    public val maxOutputTokens: Int = 0,
)
