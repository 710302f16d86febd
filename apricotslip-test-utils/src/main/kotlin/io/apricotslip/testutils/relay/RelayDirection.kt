package io.apricotslip.testutils.relay

/** Direction of the data flow through a relayed connection. */
public enum class RelayDirection {
    /** From the client, which opened the connection, to the target. */
    FORWARD,

    /** From the target to the client. */
    BACKWARD,
}
