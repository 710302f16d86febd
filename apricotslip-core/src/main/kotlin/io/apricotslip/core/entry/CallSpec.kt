package io.apricotslip.core.entry

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.work.WorkClass

/** A completion request before admission. [model] is `adapter@version` or `adapter`. */
internal data class CallSpec(
    val request: RequestId,
    val model: String,
    val workClass: WorkClass,
    val customer: CustomerId,
    val prompt: String,
    val maxTokens: Int,
    val deadlineMillis: Long,
    val traceparent: String?,
)

/** The adapter version and the manifest revision that a request is bound to at admission. */
internal data class Binding(val adapter: AdapterVersion, val revision: ManifestRevision)
