package io.apricotslip.platform

/** A call to the platform failed at [step] (`read` or `watch`); [peer] is the address of the service. */
public class PlatformException(
    public val step: String,
    public val peer: String,
    public val reason: String,
    cause: Throwable? = null,
) : RuntimeException("$step at $peer: $reason", cause)
