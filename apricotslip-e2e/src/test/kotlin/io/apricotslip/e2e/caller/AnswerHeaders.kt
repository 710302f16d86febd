package io.apricotslip.e2e.caller

import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.VersionId
import io.netty.handler.codec.http.HttpHeaders

/** Response headers that name the adapter version and manifest revision behind an answer; null if absent. */
internal data class AnswerHeaders(val adapter: AdapterVersion?, val revision: Long?) {
    companion object {
        fun of(headers: HttpHeaders): AnswerHeaders {
            val adapter = headers["X-Apricotslip-Adapter"]
            val version = headers["X-Apricotslip-Version"]
            val adapterVersion = if (adapter == null ||
                version == null
            ) {
                null
            } else {
                AdapterVersion(AdapterId(adapter), VersionId(version))
            }
            return AnswerHeaders(adapterVersion, headers["X-Apricotslip-Revision"]?.toLongOrNull())
        }
    }
}
