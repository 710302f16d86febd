package io.apricotslip.safety

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.VmId

/** The answer to a repeated call with the same idempotency key. */
public sealed class StoredAnswer {
    /** The complete answer of the service. */
    public class Completed(
        public val status: Int,
        public val contentType: String?,
        public val body: ByteArray,
        public val server: BackendServerId,
    ) : StoredAnswer()

    /** The call may have run; its answer was lost. */
    public data object Unknown : StoredAnswer()
}

/** What to do with a call that must run at most once; `unknown` and `not_run` are outcomes for the caller. */
public sealed class ReservationDecision {
    /** Call the service, then report the outcome to [Reservations]. */
    public data object Run : ReservationDecision()

    /** A call with the key has ended before; reply with [answer]. */
    public data class Repeat(public val answer: StoredAnswer) : ReservationDecision()

    /** A call with the key is in progress: `unknown`. */
    public data object InProgress : ReservationDecision()

    /** Another VM, or none, is the home of the key: forward to [home], or `not_run`. */
    public data class NotHome(public val home: VmId?) : ReservationDecision()

    /** This VM has no role now (no tenure or lease): `not_run` here; another home may have run the key. */
    public data object NotTenured : ReservationDecision()

    /** The key is older than this home's tenure, so a previous home may have run it: `unknown`. */
    public data object BeforeTenure : ReservationDecision()

    /** The key is not a UUID version 7: `not_run`. */
    public data class BadKey(public val reason: String) : ReservationDecision()

    /** The key is older than the retention time of keys: `unknown`. */
    public data object Expired : ReservationDecision()

    /** The creation time of the key is in the future, beyond the clock skew: `not_run`. */
    public data object FromFuture : ReservationDecision()
}
