package io.apricotslip.core.entry

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.work.WorkClass

/** What a caller asked for, before it is admitted. [model] is `adapter@version` or `adapter`. */
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

/** What a request was bound to at admission. */
internal data class Binding(val adapter: AdapterVersion, val revision: ManifestRevision)
