package io.apricotslip.safety

import io.apricotslip.api.id.VmId
import java.util.TreeMap

/**
 * Ensures that a call runs at most once per idempotency key: rule 10 of docs/DESIGN.md. Not thread-safe.
 *
 * @param clockSkewMillis maximum difference between the wall clocks of two machines, in milliseconds.
 * @param retentionMillis how long a key is kept after its creation, in milliseconds.
 * @param maxKeys maximum number of keys kept. Beyond it the oldest are dropped, and keys as old as those are refused.
 */
public class Reservations(
    public val self: VmId,
    private val membership: Membership,
    private val clockSkewMillis: Long,
    private val retentionMillis: Long,
    private val maxKeys: Int = DEFAULT_MAX_KEYS,
) {
    private val calls = TreeMap<ReservationKey, Call>()
    private var droppedUpToMillis = Long.MIN_VALUE

    /** Number of keys kept. */
    public val size: Int get() = calls.size

    /**
     * Decides whether a call with [key] may run. After [ReservationDecision.Run] the caller must write the call to the
     * socket in the same turn of the event loop, and report its end with [completed], [outcomeUnknown] or [notRun].
     *
     * @param wallMillis wall-clock time in milliseconds since 1970.
     * @param now time in nanoseconds of the monotonic clock.
     */
    public fun begin(key: String, wallMillis: Long, now: Long): ReservationDecision {
        val parsed = ReservationKey.parse(key) ?: return ReservationDecision.BadKey("'$key' is not a UUID version 7")
        dropOldKeys(wallMillis)
        calls[parsed]?.let { return repeated(it) }
        val decision = decide(parsed, wallMillis, now)
        if (decision == ReservationDecision.Run) calls[parsed] = Call.Running
        return decision
    }

    /** Records that the call with [key] ended with the complete [answer]. */
    public fun completed(key: String, answer: StoredAnswer.Completed) {
        finish(key, Call.Ended(answer))
    }

    /** Records that the call with [key] may have run but its answer was lost. */
    public fun outcomeUnknown(key: String) {
        finish(key, Call.Ended(StoredAnswer.Unknown))
    }

    /** Records that the call with [key] certainly did not run; it may be retried. */
    public fun notRun(key: String) {
        val parsed = ReservationKey.parse(key) ?: return
        if (calls[parsed] == Call.Running) calls.remove(parsed)
    }

    private fun repeated(call: Call): ReservationDecision = when (call) {
        Call.Running -> ReservationDecision.InProgress
        is Call.Ended -> ReservationDecision.Repeat(call.answer)
    }

    private fun decide(key: ReservationKey, wallMillis: Long, now: Long): ReservationDecision {
        val created = key.createdMillis
        if (created > wallMillis + clockSkewMillis) return ReservationDecision.FromFuture
        if (created <= maxOf(wallMillis - retentionMillis, droppedUpToMillis)) return ReservationDecision.Expired
        if (!membership.leaseHeld(now)) return ReservationDecision.NotTenured
        val name = key.uuid.toString()
        val since = membership.homeSince(name, now) ?: return notHome(name)
        val homeSinceMillis = wallMillis - (now - since) / NANOS_PER_MILLI
        return if (created > homeSinceMillis + clockSkewMillis) {
            ReservationDecision.Run
        } else {
            ReservationDecision.BeforeTenure
        }
    }

    private fun notHome(name: String): ReservationDecision {
        if (membership.tenured == null) return ReservationDecision.NotTenured
        val home = OwnershipRanking.home(name, membership.list.vms)
        return if (home == self) ReservationDecision.NotTenured else ReservationDecision.NotHome(home)
    }

    private fun finish(key: String, call: Call) {
        val parsed = ReservationKey.parse(key) ?: return
        if (calls[parsed] == Call.Running) calls[parsed] = call
    }

    /**
     * Drops keys beyond the retention time or [maxKeys]. [droppedUpToMillis] keeps refusing them even if the wall clock
     * is set back.
     */
    private fun dropOldKeys(wallMillis: Long) {
        while (calls.isNotEmpty()) {
            val oldest = calls.firstKey()
            val expired = oldest.createdMillis <= wallMillis - retentionMillis
            if (!expired && calls.size < maxKeys) return
            calls.remove(oldest)
            droppedUpToMillis = maxOf(droppedUpToMillis, oldest.createdMillis)
        }
    }

    private sealed class Call {
        data object Running : Call()

        data class Ended(val answer: StoredAnswer) : Call()
    }

    private companion object {
        const val DEFAULT_MAX_KEYS = 200_000
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
