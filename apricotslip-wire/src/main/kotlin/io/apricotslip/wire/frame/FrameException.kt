package io.apricotslip.wire.frame

/** A frame that breaks the protocol; the link on which it arrived is closed. */
internal class FrameException(message: String, cause: Throwable? = null) : RuntimeException(message, cause)
