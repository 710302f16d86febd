package io.apricotslip.testutils.relay

/** Direction of the bytes of a connection through a relay. */
public enum class RelayDirection {
    /** From the side that opened the connection. */
    FORWARD,

    /** To the side that opened the connection. */
    BACKWARD,
}
