package io.apricotslip.safety

import io.apricotslip.api.id.VmId
import java.util.TreeMap

/**
 * Calls that run at most once for each key: rule 10 of docs/DESIGN.md. Not thread-safe.
 *
 * @param clockSkewMillis most by which the wall clocks of two machines differ, in milliseconds.
 * @param retentionMillis how long a key is remembered after its minting, in milliseconds.
 * @param maxKeys most keys remembered. Beyond it the oldest are dropped, and keys as old as those are refused.
 */
public class Reservations(
    public val self: VmId,
    private val membership: Membership,
    private val clockSkewMillis: Long,
    private val retentionMillis: Long,
    private val maxKeys: Int = DEFAULT_MAX_KEYS,
) {
    private val calls = TreeMap<ReservationKey, Call>()
    private var droppedMillis = Long.MIN_VALUE

    /** Keys remembered. */
    public val size: Int get() = calls.size

    /**
     * Decides on a call with [key] at [wallMillis] (since 1970) and [now]. After [ReservationDecision.Run] the call is
     * handed to the socket in the same turn of the event loop, and [completed], [outcomeUnknown] or [notRun] told.
     */
    public fun begin(key: String, wallMillis: Long, now: Long): ReservationDecision {
        val parsed = ReservationKey.parse(key) ?: return ReservationDecision.BadKey("'$key' is not a UUID version 7")
        drop(wallMillis)
        calls[parsed]?.let { return repeat(it) }
        val decision = judge(parsed, wallMillis, now)
        if (decision == ReservationDecision.Run) calls[parsed] = Call.Running
        return decision
    }

    /** The call with [key] ended with the whole [answer]. */
    public fun completed(key: String, answer: StoredAnswer.Completed) {
        ended(key, Call.Ended(answer))
    }

    /** The call with [key] may have run; its answer is lost. */
    public fun outcomeUnknown(key: String) {
        ended(key, Call.Ended(StoredAnswer.Unknown))
    }

    /** The call with [key] is proved not to have run; it may be tried again. */
    public fun notRun(key: String) {
        val parsed = ReservationKey.parse(key) ?: return
        if (calls[parsed] == Call.Running) calls.remove(parsed)
    }

    private fun repeat(call: Call): ReservationDecision = when (call) {
        Call.Running -> ReservationDecision.InProgress
        is Call.Ended -> ReservationDecision.Repeat(call.answer)
    }

    private fun judge(key: ReservationKey, wallMillis: Long, now: Long): ReservationDecision {
        val minted = key.mintedMillis
        if (minted > wallMillis + clockSkewMillis) return ReservationDecision.FromFuture
        if (minted <= maxOf(wallMillis - retentionMillis, droppedMillis)) return ReservationDecision.Expired
        if (!membership.leaseHeld(now)) return ReservationDecision.NotTenured
        val name = key.uuid.toString()
        val since = membership.homeSince(name, now) ?: return notHome(name)
        val sinceWall = wallMillis - (now - since) / NANOS_PER_MILLI
        return if (minted > sinceWall + clockSkewMillis) ReservationDecision.Run else ReservationDecision.BeforeTenure
    }

    private fun notHome(name: String): ReservationDecision {
        if (membership.tenured == null) return ReservationDecision.NotTenured
        val home = OwnershipRanking.home(name, membership.list.vms)
        return if (home == self) ReservationDecision.NotTenured else ReservationDecision.NotHome(home)
    }

    private fun ended(key: String, call: Call) {
        val parsed = ReservationKey.parse(key) ?: return
        if (calls[parsed] == Call.Running) calls[parsed] = call
    }

    /** Drops keys past retention or count; [droppedMillis] keeps them refused even if the wall clock is set back. */
    private fun drop(wallMillis: Long) {
        while (calls.isNotEmpty()) {
            val oldest = calls.firstKey()
            val expired = oldest.mintedMillis <= wallMillis - retentionMillis
            if (!expired && calls.size < maxKeys) return
            calls.remove(oldest)
            droppedMillis = maxOf(droppedMillis, oldest.mintedMillis)
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
