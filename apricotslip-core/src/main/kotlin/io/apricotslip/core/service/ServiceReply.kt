package io.apricotslip.core.service

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.outcome.Refusal

/** What the caller of a plain service is told. */
internal sealed class ServiceReply {
    /** The service answered. */
    class Answered(val status: Int, val contentType: String?, val body: ByteArray, val server: BackendServerId) :
        ServiceReply()

    /** The service did not answer. */
    class Refused(val refusal: Refusal) : ServiceReply()
}
