package io.apricotslip.safety

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.VmId

/** What a repeat of an idempotency key is answered with. */
public sealed class StoredAnswer {
    /** The whole answer of the service. */
    public class Completed(
        public val status: Int,
        public val contentType: String?,
        public val body: ByteArray,
        public val server: BackendServerId,
    ) : StoredAnswer()

    /** The call may have run; its answer was lost. */
    public data object Unknown : StoredAnswer()
}

/** What to do with a call that may not be repeated. */
public sealed class ReservationDecision {
    /** Call the service, then tell how it ended. */
    public data object Run : ReservationDecision()

    /** The key was called before; answer with [answer]. */
    public data class Repeat(public val answer: StoredAnswer) : ReservationDecision()

    /** The key is being called: `unknown`. */
    public data object InProgress : ReservationDecision()

    /** Another VM, or none, is the home of the key: forward to [home], or `not_run`. */
    public data class NotHome(public val home: VmId?) : ReservationDecision()

    /** This VM has no role now (no tenure or no lease): `not_run` here; another home may have run the key. */
    public data object NotTenured : ReservationDecision()

    /** The key is older than the tenure of this home, and a former home may have run it: `unknown`. */
    public data object BeforeTenure : ReservationDecision()

    /** The key is not a UUID version 7: `not_run`. */
    public data class BadKey(public val reason: String) : ReservationDecision()

    /** The key is older than the time for which keys are remembered: `unknown`. */
    public data object Expired : ReservationDecision()

    /** The key was minted later than now: `not_run`. */
    public data object FromFuture : ReservationDecision()
}
