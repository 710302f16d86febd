package io.apricotslip.safety

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.ListRevision

/** What to do after an engine refused an order with `stale_fence`. */
public sealed class FenceAdvice {
    /** Retry the order with the next fencing token. */
    public data object Retry : FenceAdvice()

    /** A newer list is in use: give no orders until this VM has adopted it and its tenure under it has begun. */
    public data object Stop : FenceAdvice()
}

/**
 * Issues the fencing tokens for the orders of this VM, `revision * 2^20 + n`: rule 7 of docs/DESIGN.md. More than 2^20
 * orders to one engine under one list overflow into the range of the next list; the next owner then skips past them in
 * [onStaleFence].
 */
public class FenceCounter {
    private val lastIssued = HashMap<BackendServerId, Long>()

    /** Issues the token for the next order to [server] under list [revision]; higher than all issued before. */
    public fun next(server: BackendServerId, revision: ListRevision): FenceNumber {
        val number = maxOf(lastIssued[server] ?: 0, revision.value shl ORDER_NUMBER_BITS) + 1
        lastIssued[server] = number
        return FenceNumber(number)
    }

    /**
     * Handles the refusal of an order given under [revision].
     *
     * @param highest the highest token that [server] has seen, according to its answer.
     */
    public fun onStaleFence(server: BackendServerId, highest: FenceNumber, revision: ListRevision): FenceAdvice {
        val issued = lastIssued[server] ?: 0
        if (highest.value > issued && highest.value shr ORDER_NUMBER_BITS > revision.value) return FenceAdvice.Stop
        if (highest.value > issued) lastIssued[server] = highest.value + MAX_UNSEEN_ORDERS
        return FenceAdvice.Retry
    }

    private companion object {
        const val ORDER_NUMBER_BITS = 20

        /** More orders than an earlier incarnation of this VM can have had in flight, unseen by the engine. */
        const val MAX_UNSEEN_ORDERS = 1024
    }
}
