package io.apricotslip.core.http

/** Names of headers between callers and the entry VM. */
internal object CallerHeaders {
    const val REQUEST = "X-Request-Id"
    const val CLASS = "X-Apricotslip-Class"
    const val CUSTOMER = "X-Apricotslip-Customer"
    const val DEADLINE = "X-Apricotslip-Deadline-Millis"
    const val ADAPTER = "X-Apricotslip-Adapter"
    const val VERSION = "X-Apricotslip-Version"
    const val REVISION = "X-Apricotslip-Revision"
    const val SERVER = "X-Apricotslip-Backend-Server"
    const val KEY = "Idempotency-Key"
    const val TRACEPARENT = "traceparent"
}
