package io.apricotslip.gateway.caller

/** Receives the events of a caller's connection while its request is in progress. */
public interface CallerListener {
    /** The caller closed the connection. */
    public fun onCallerDisconnected()

    /** The connection accepts more bytes again, or its write buffer is full. */
    public fun onWritabilityChanged(writable: Boolean)
}
