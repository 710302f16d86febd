package io.apricotslip.http

/** A response has a head or trailers that HTTP does not allow. [message] names the part. */
public class MalformedHeadException(override val message: String) : IllegalArgumentException(message)
