package io.apricotslip.core.entry

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.outcome.Refusal

/** Events of a request, from the node loop to the HTTP handler. */
internal sealed class CallEvent {
    /** The request was admitted and bound to an adapter version. Always the first event, unless it is refused. */
    data class Admitted(val binding: Binding) : CallEvent()

    /** One token; [offset] is its zero-based index in the answer. */
    data class Token(val offset: Int, val text: String) : CallEvent()

    /** The answer is complete; [totalTokens] counts its tokens. */
    data class End(val totalTokens: Int, val finishReason: String, val server: BackendServerId) : CallEvent()

    /** The request ended without a complete answer. */
    data class Refused(val refusal: Refusal) : CallEvent()
}
