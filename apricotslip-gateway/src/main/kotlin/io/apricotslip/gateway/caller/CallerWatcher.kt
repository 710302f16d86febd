package io.apricotslip.gateway.caller

/** Is told what happens to a caller's connection while its request is under way. */
public interface CallerWatcher {
    /** The caller closed the connection. */
    public fun callerLeft()

    /** The connection takes more bytes again, or no more for now. */
    public fun callerReads(writable: Boolean)
}
