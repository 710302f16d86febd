package io.apricotslip.cli.node

/** Result of a call to a node. */
internal sealed class NodeReply<out T> {
    abstract val node: NodeAddress

    /** The node answered with a [value] that could be decoded. */
    data class Answered<T>(override val node: NodeAddress, val value: T) : NodeReply<T>()

    /** The node requires a key, does not know the given key, or answers only loopback addresses. */
    data class NotAuthorized(override val node: NodeAddress, val step: String, val reason: String) :
        NodeReply<Nothing>()

    /** The node could not be reached, did not answer in time or gave an unexpected answer. */
    data class Failed(override val node: NodeAddress, val step: String, val reason: String) : NodeReply<Nothing>()
}
