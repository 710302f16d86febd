package io.apricotslip.wire.frame

/** Thrown for input that violates the protocol; the connection on which it arrived is closed. */
internal class FrameException(message: String, cause: Throwable? = null) : RuntimeException(message, cause)
