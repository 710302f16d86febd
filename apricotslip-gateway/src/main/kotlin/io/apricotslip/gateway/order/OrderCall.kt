package io.apricotslip.gateway.order

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** An order as it is sent. */
public class OrderCall(
    public val method: HttpMethod,
    public val uri: String,
    public val headers: HttpHeaders,
    public val body: ByteArray,
)
