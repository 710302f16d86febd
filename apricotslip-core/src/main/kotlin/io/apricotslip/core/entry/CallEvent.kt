package io.apricotslip.core.entry

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.outcome.Refusal

/** What the HTTP side of a request is told. */
internal sealed class CallEvent {
    /** Admitted, and bound to an adapter version. Always the first, unless the request is refused. */
    data class Admitted(val binding: Binding) : CallEvent()

    /** One token; [offset] counts those before it. */
    data class Token(val offset: Int, val text: String) : CallEvent()

    /** The answer is whole. */
    data class End(val total: Int, val finish: String, val server: BackendServerId) : CallEvent()

    /** The request ended without a whole answer. */
    data class Refused(val refusal: Refusal) : CallEvent()
}
