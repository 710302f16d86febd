package io.apricotslip.core.owner

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VersionId
import io.apricotslip.api.manifest.FenceCheck
import io.apricotslip.api.manifest.WhenFull
import io.apricotslip.backends.engine.EngineClient
import io.apricotslip.backends.engine.OrderResult
import io.apricotslip.rules.engine.EngineScheduler
import io.apricotslip.rules.engine.WorkItem
import io.apricotslip.rules.store.StoreBudget
import io.apricotslip.safety.EvictTicket
import io.apricotslip.safety.EvictVerdict
import io.apricotslip.safety.FenceAdvice
import io.apricotslip.safety.OrderHandle
import org.tinylog.kotlin.Logger

/**
 * Sends load and evict orders to one engine. Each order is sent in the same task of the event loop in which the guard
 * permits it. Confined to the node's event loop.
 *
 * @param onChange called after an order ends or is abandoned, so that the owner dispatches again.
 */
internal class EngineOrders(
    private val ctx: OwnerContext,
    private val client: EngineClient,
    private val scheduler: EngineScheduler,
    private val budget: StoreBudget,
    private val onChange: () -> Unit,
) {
    private val server = client.engine.id
    private val checksFence = client.engine.fence == FenceCheck.CHECKED
    private val pendingEvicts = mutableListOf<PendingOrder>()
    private val pendingLoads = mutableListOf<PendingOrder>()

    private var inFlight = 0
    private val loading = HashSet<AdapterVersion>()
    private val loadedAt = HashMap<AdapterVersion, Long>()
    private var noOpInFlight = false

    /**
     * Whether an order of this node is in flight or waits for consent, so that a report may not show its effect yet.
     */
    val hasUnreportedOrders: Boolean get() = inFlight > 0 || pendingEvicts.isNotEmpty() || pendingLoads.isNotEmpty()

    /** Sequence number of the newest acknowledged order; a report with a lower number does not reflect it. */
    var lastSequence: Long = 0
        private set

    private class PendingOrder(val ticket: EvictTicket, val adapter: AdapterVersion, val requestedAt: Long)

    /** Records that a request needs [adapter] while it is not resident; restarts the measurement of its load stall. */
    fun markAdapterMissing(adapter: AdapterVersion) {
        loadedAt.remove(adapter)
    }

    /** Nanoseconds that [work] waited for its adapter; the time spent waiting for a batch slot does not count. */
    fun stallNanos(work: WorkItem): Long =
        ((loadedAt[work.adapter] ?: work.arrivedAt) - work.arrivedAt).coerceAtLeast(0)

    /** Whether a load of [adapter] is in flight or waits for consent. */
    fun isLoading(adapter: AdapterVersion): Boolean = adapter in loading || pendingLoads.any { it.adapter == adapter }

    /** Resets the order sequence, which starts anew when the engine restarts. */
    fun engineRestarted() {
        lastSequence = 0
    }

    /**
     * Loads [adapter]. An engine that evicts by itself when full gets the order only after the other VMs consented,
     * since the load may evict an adapter.
     */
    fun load(adapter: AdapterVersion) {
        if (ctx.guard.mayLoad(server, client.engine.whenFull, ctx.loop.now())) {
            return sendLoad(adapter, retries = MAX_FENCE_RETRIES) {}
        }
        val consent = ctx.guard.requestLoadConsent(server, adapter, ctx.loop.now())
        ctx.links.send(consent.envelopes)
        pendingLoads += PendingOrder(consent.ticket, adapter, ctx.loop.now())
        processPending()
    }

    /** Requests consent to evict [adapter], and evicts it once every VM asked has agreed. */
    fun evict(adapter: AdapterVersion) {
        val consent = ctx.guard.requestEvictConsent(server, adapter, ctx.loop.now())
        ctx.links.send(consent.envelopes)
        pendingEvicts += PendingOrder(consent.ticket, adapter, ctx.loop.now())
        processPending()
    }

    /**
     * Sends an order without effect: loads the [resident] adapter again, or evicts an adapter that no engine has. Its
     * acknowledgement carries a sequence number, so that reports with this or a higher number are known to be newer.
     */
    fun sendNoOpOrder(resident: AdapterVersion?) {
        if (noOpInFlight) return
        noOpInFlight = true
        val handle = ctx.guard.recordOrder(server)
        val order =
            if (resident != null) client.load(resident, nextFence()) else client.evict(UNKNOWN_ADAPTER, nextFence())
        order.publishOn(ctx.loop.scheduler).subscribe { result ->
            noOpInFlight = false
            ctx.metrics.recordOrder("touch", resultLabel(result))
            when (result) {
                is OrderResult.Done -> onAcknowledged(handle, result.sequence)
                is OrderResult.Rejected -> result.sequence?.let { onAcknowledged(handle, it) }
                is OrderResult.StaleFence -> fenceAdvice(result)
                is OrderResult.Unanswered -> Unit
            }
            onChange()
        }
    }

    /** Sends the pending orders that have consent, and abandons those that were refused or timed out. */
    fun processPending() {
        pendingEvicts.toList().forEach(::processEvict)
        pendingLoads.toList().forEach(::processLoad)
    }

    private fun processEvict(evict: PendingOrder) {
        val now = ctx.loop.now()
        when (val verdict = ctx.guard.verdict(evict.ticket, now)) {
            is EvictVerdict.Ready -> {
                pendingEvicts -= evict
                sendEvict(evict, retries = MAX_FENCE_RETRIES)
            }

            is EvictVerdict.Refused -> abandonEvict(evict, "refused by ${verdict.by}")

            is EvictVerdict.Waiting -> {
                if (now - evict.requestedAt > CONSENT_TIMEOUT_NANOS) {
                    abandonEvict(evict, "no answer of ${verdict.missing}")
                }
            }
        }
    }

    private fun processLoad(load: PendingOrder) {
        val now = ctx.loop.now()
        when (ctx.guard.verdict(load.ticket, now)) {
            is EvictVerdict.Ready -> {
                pendingLoads -= load
                ctx.guard.orderSent(load.ticket)
                sendLoad(load.adapter, MAX_FENCE_RETRIES) { ctx.links.send(ctx.guard.closeTicket(load.ticket)) }
            }

            is EvictVerdict.Refused -> abandonLoad(load)

            is EvictVerdict.Waiting -> {
                if (now - load.requestedAt > CONSENT_TIMEOUT_NANOS) abandonLoad(load)
            }
        }
    }

    private fun abandonEvict(evict: PendingOrder, reason: String) {
        pendingEvicts -= evict
        ctx.links.send(ctx.guard.closeTicket(evict.ticket))
        scheduler.onEvictRefused(evict.adapter, ctx.loop.now())
        ctx.metrics.recordOrder("evict", "no_consent")
        Logger.debug("event=evict_given_up step=load peer={} adapter={} reason=\"{}\"", server, evict.adapter, reason)
        onChange()
    }

    private fun abandonLoad(load: PendingOrder) {
        pendingLoads -= load
        budget.onLoadEnded(ctx.loop.now())
        ctx.links.send(ctx.guard.closeTicket(load.ticket))
        scheduler.onLoadFailed(load.adapter, ctx.loop.now())
        onChange()
    }

    private fun sendEvict(evict: PendingOrder, retries: Int) {
        ctx.guard.orderSent(evict.ticket)
        val handle = ctx.guard.recordOrder(server)
        inFlight++
        client.evict(evict.adapter, nextFence()).publishOn(ctx.loop.scheduler).subscribe { result ->
            inFlight--
            ctx.metrics.recordOrder("evict", resultLabel(result))
            when (result) {
                is OrderResult.Done -> onEvicted(evict, handle, result.sequence)
                is OrderResult.StaleFence -> retryEvict(evict, result, retries)
                is OrderResult.Rejected -> onEvictRejected(evict, result)
                is OrderResult.Unanswered -> onEvictUnanswered(evict)
            }
            onChange()
        }
    }

    private fun onEvicted(evict: PendingOrder, handle: OrderHandle, sequence: Long) {
        onAcknowledged(handle, sequence)
        loadedAt.remove(evict.adapter)
        ctx.links.send(ctx.guard.closeTicket(evict.ticket))
        scheduler.onEvicted(evict.adapter, ctx.loop.now())
        ctx.history.record(EventKind.EVICT) {
            copy(server = client.engine.id.value, adapter = evict.adapter.toString())
        }
    }

    private fun retryEvict(evict: PendingOrder, result: OrderResult.StaleFence, retries: Int) {
        val mayRetry = fenceAdvice(result) == FenceAdvice.Retry && retries > 0
        if (mayRetry && ctx.guard.verdict(evict.ticket, ctx.loop.now()) is EvictVerdict.Ready) {
            sendEvict(evict, retries - 1)
        } else {
            abandonEvict(evict, "stale fence")
        }
    }

    private fun onEvictRejected(evict: PendingOrder, result: OrderResult.Rejected) {
        if (result.reason != NOT_RESIDENT) return abandonEvict(evict, result.reason)
        ctx.links.send(ctx.guard.closeTicket(evict.ticket))
        scheduler.onEvicted(evict.adapter, ctx.loop.now())
    }

    private fun onEvictUnanswered(evict: PendingOrder) {
        ctx.guard.markUnanswered(evict.ticket, checksFence)
        scheduler.onEvicted(evict.adapter, ctx.loop.now())
        Logger.warn("event=evict_unanswered step=load peer={} adapter={} fenced={}", server, evict.adapter, checksFence)
    }

    private fun sendLoad(adapter: AdapterVersion, retries: Int, onDone: () -> Unit) {
        inFlight++
        loading += adapter
        val handle = ctx.guard.recordOrder(server)
        client.load(adapter, nextFence()).publishOn(ctx.loop.scheduler).subscribe { result ->
            inFlight--
            loading -= adapter
            ctx.metrics.recordOrder("load", resultLabel(result))
            when (result) {
                is OrderResult.Done -> onLoaded(adapter, handle, result.sequence)

                is OrderResult.StaleFence -> {
                    val mayRetry = fenceAdvice(result) == FenceAdvice.Retry && retries > 0
                    if (mayRetry) return@subscribe sendLoad(adapter, retries - 1, onDone)
                    scheduler.onLoadFailed(adapter, ctx.loop.now())
                }

                is OrderResult.Rejected, is OrderResult.Unanswered -> onLoadFailed(adapter, result)
            }
            budget.onLoadEnded(ctx.loop.now())
            onDone()
            onChange()
        }
    }

    private fun onLoaded(adapter: AdapterVersion, handle: OrderHandle, sequence: Long) {
        onAcknowledged(handle, sequence)
        loadedAt[adapter] = ctx.loop.now()
        scheduler.onLoaded(adapter, ctx.loop.now())
        ctx.history.record(EventKind.LOAD) { copy(server = client.engine.id.value, adapter = adapter.toString()) }
    }

    private fun onLoadFailed(adapter: AdapterVersion, result: OrderResult) {
        scheduler.onLoadFailed(adapter, ctx.loop.now())
        Logger.warn("event=load_failed step=load peer={} adapter={} result={}", server, adapter, resultLabel(result))
    }

    private fun onAcknowledged(handle: OrderHandle, sequence: Long) {
        lastSequence = maxOf(lastSequence, sequence)
        ctx.links.send(ctx.guard.orderAcknowledged(handle, sequence))
    }

    private fun nextFence(): FenceNumber = ctx.fences.next(server, ctx.membership.list.revision)

    private fun fenceAdvice(result: OrderResult.StaleFence): FenceAdvice =
        ctx.fences.onStaleFence(server, result.highest, ctx.membership.list.revision)

    private fun resultLabel(result: OrderResult): String = when (result) {
        is OrderResult.Done -> "done"
        is OrderResult.StaleFence -> "stale_fence"
        is OrderResult.Rejected -> result.reason
        is OrderResult.Unanswered -> "unanswered"
    }

    private companion object {
        const val CONSENT_TIMEOUT_NANOS = 1_000_000_000L
        const val MAX_FENCE_RETRIES = 3
        const val NOT_RESIDENT = "not_resident"
        val UNKNOWN_ADAPTER = AdapterVersion(AdapterId("none"), VersionId("none"))
    }
}
