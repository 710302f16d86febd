package io.apricotslip.gateway.caller

/** Is told what happens to a caller's connection while its request is under way. */
public interface CallerListener {
    /** The caller closed the connection. */
    public fun onCallerDisconnected()

    /** The connection takes more bytes again, or no more for now. */
    public fun onWritabilityChanged(writable: Boolean)
}
