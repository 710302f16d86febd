package io.apricotslip.gateway.order

/** What a backend server said to an order. */
public enum class OrderResult {
    /** It is done. */
    DONE,

    /** It is being carried out. */
    ACCEPTED,

    /** Another order is in the way; nothing was changed. */
    BUSY,

    /** A newer fence was seen; nothing was changed. */
    FENCED,

    /** Another server has the address, or the model is not there; nothing was changed. */
    MISDIRECTED,

    /** It is not understood; nothing was changed. */
    REJECTED,

    /** No answer: it may have been carried out. */
    UNKNOWN,
}
