package io.apricotslip.core.service

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.outcome.Refusal

/** Result of a call of a plain service, as reported to its caller. */
internal sealed class ServiceReply {
    /** The service answered. */
    class Answered(val status: Int, val contentType: String?, val body: ByteArray, val server: BackendServerId) :
        ServiceReply()

    /** There is no answer: the call was refused, failed or may have run; [refusal] says which. */
    class Refused(val refusal: Refusal) : ServiceReply()
}
