package io.apricotslip.standins.engine

/** Answer of an engine to a completion request. */
internal sealed class StartAnswer {
    /** The request is queued or running; [stream] carries its answer. */
    data class Accepted(val stream: CompletionStream) : StartAnswer()

    /** The request was refused before any work was done. */
    data class Refused(val reason: Reason) : StartAnswer()

    /** Why a request was refused. */
    enum class Reason { ADAPTER_NOT_RESIDENT, DUPLICATE_REQUEST, FULL, STARTING }
}

/** Answer of an engine to an order. */
internal sealed class OrderAnswer {
    /** Executed; [sequence] is the number of the resulting state. */
    data class Done(val sequence: Long) : OrderAnswer()

    /** Refused because the engine has seen the higher fencing number [highest]. */
    data class StaleFence(val highest: Long) : OrderAnswer()

    /** Refused because no slot is free. */
    data object Full : OrderAnswer()

    /** The weights could not be fetched. */
    data object LoadFailed : OrderAnswer()

    /** Refused because the engine is starting. */
    data object Starting : OrderAnswer()

    /** The adapter to evict is not resident; [sequence] is the number of the current state. */
    data class NotResident(val sequence: Long) : OrderAnswer()
}
