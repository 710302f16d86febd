package io.apricotslip.e2e.caller

import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.VersionId
import io.apricotslip.api.work.WorkClass

/** A completion request sent by a test. */
internal data class CompletionRequest(
    val requestId: String,
    val adapter: String,
    val version: String = "v1",
    val prompt: String = "a plan for $requestId",
    val maxTokens: Int = 20,
    val workClass: WorkClass = WorkClass.INTERACTIVE,
    val deadlineMillis: Long = 30_000,
) {
    val adapterVersion: AdapterVersion get() = AdapterVersion(AdapterId(adapter), VersionId(version))
}
