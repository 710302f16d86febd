package io.apricotslip.core.service

import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.ServiceId

/** A caller's call of a plain service. [key] is null for calls that may be repeated. */
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
