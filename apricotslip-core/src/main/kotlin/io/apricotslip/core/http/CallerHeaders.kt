package io.apricotslip.core.http

/** Names of the HTTP headers of requests and answers on the callers' port. */
internal object CallerHeaders {
    const val REQUEST = "X-Request-Id"
    const val WORK_CLASS = "X-Apricotslip-Class"
    const val CUSTOMER = "X-Apricotslip-Customer"
    const val DEADLINE_MILLIS = "X-Apricotslip-Deadline-Millis"
    const val ADAPTER = "X-Apricotslip-Adapter"
    const val VERSION = "X-Apricotslip-Version"
    const val REVISION = "X-Apricotslip-Revision"
    const val SERVER = "X-Apricotslip-Backend-Server"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val TRACEPARENT = "traceparent"
}
