package io.apricotslip.core.service

import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.ServiceId

/** A caller's call of a plain service. [key] is its idempotency key, or null for calls that are safe to repeat. */
internal class ServiceRequest(
    val request: RequestId,
    val service: ServiceId,
    val method: String,
    val path: String,
    val contentType: String?,
    val body: ByteArray,
    val key: String?,
    val deadlineMillis: Long,
    val traceparent: String?,
)
