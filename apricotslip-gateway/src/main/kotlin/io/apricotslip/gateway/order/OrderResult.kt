package io.apricotslip.gateway.order

/** Result of an order to a backend server. */
public enum class OrderResult {
    /** The order is complete. */
    DONE,

    /** The order is in progress. */
    ACCEPTED,

    /** Another order blocks this one; nothing was changed. */
    BUSY,

    /** The server has seen a newer fencing token; nothing was changed. */
    FENCED,

    /** Another server has the address, or the server does not have the model; nothing was changed. */
    MISDIRECTED,

    /** The server does not understand the order; nothing was changed. */
    REJECTED,

    /** No response: the order may have been carried out. */
    UNKNOWN,
}
