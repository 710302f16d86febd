package io.apricotslip.standins.engine

/** How an engine answers a request for a completion. */
internal sealed class StartAnswer {
    /** The request is queued or runs. */
    data class Accepted(val stream: CompletionStream) : StartAnswer()

    /** Refused before any work. */
    data class Refused(val reason: Reason) : StartAnswer()

    /** Why a request is refused. */
    enum class Reason { ADAPTER_NOT_RESIDENT, DUPLICATE_REQUEST, FULL, STARTING }
}

/** How an engine answers an order. */
internal sealed class OrderAnswer {
    /** Obeyed; the state after it has number [sequence]. */
    data class Done(val sequence: Long) : OrderAnswer()

    /** Refused; the engine has seen [highest]. */
    data class StaleFence(val highest: Long) : OrderAnswer()

    /** Refused because no slot is free. */
    data object Full : OrderAnswer()

    /** The weights did not come. */
    data object LoadFailed : OrderAnswer()

    /** Refused because the engine starts. */
    data object Starting : OrderAnswer()

    /** Nothing to evict. */
    data class NotResident(val sequence: Long) : OrderAnswer()
}
