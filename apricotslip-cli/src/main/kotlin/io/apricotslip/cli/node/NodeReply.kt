package io.apricotslip.cli.node

/** What came of a call to a node. */
internal sealed class NodeReply<out T> {
    abstract val node: NodeAddress

    /** The node answered. */
    data class Answered<T>(override val node: NodeAddress, val value: T) : NodeReply<T>()

    /** The node demands a key, or does not know the one it got. */
    data class NotAuthorized(override val node: NodeAddress, val step: String, val reason: String) :
        NodeReply<Nothing>()

    /** The node could not be reached, was too slow or answered something else. */
    data class Failed(override val node: NodeAddress, val step: String, val reason: String) : NodeReply<Nothing>()
}
