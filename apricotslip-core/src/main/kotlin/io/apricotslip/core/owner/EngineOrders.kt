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

/** Gives load and evict orders to one engine, each only after the guard agreed in the same turn. Used on the loop. */
internal class EngineOrders(
    private val ctx: OwnerContext,
    private val client: EngineClient,
    private val scheduler: EngineScheduler,
    private val budget: StoreBudget,
    private val changed: () -> Unit,
) {
    private val server = client.engine.id
    private val checked = client.engine.fence == FenceCheck.CHECKED
    private val pending = mutableListOf<PendingEvict>()
    private val pendingLoads = mutableListOf<PendingEvict>()

    private var inFlight = 0
    private val loading = HashSet<AdapterVersion>()
    private val residentAt = HashMap<AdapterVersion, Long>()
    private var touching = false

    /** Whether an order of this node may not show in a report yet. */
    val underWay: Boolean get() = inFlight > 0 || pending.isNotEmpty() || pendingLoads.isNotEmpty()

    /** Sequence of the newest acknowledged order; older reports do not show it. */
    var lastSequence: Long = 0
        private set

    private class PendingEvict(val ticket: EvictTicket, val adapter: AdapterVersion, val since: Long)

    /** A request waits for [adapter], which is not resident. */
    fun awaitLoad(adapter: AdapterVersion) {
        residentAt.remove(adapter)
    }

    /** How long [work] waited for its adapter, in nanoseconds; what it waited for the batch does not count. */
    fun stallNanos(work: WorkItem): Long =
        ((residentAt[work.adapter] ?: work.arrivedAt) - work.arrivedAt).coerceAtLeast(0)

    /** Whether a load of [adapter] is under way or waits for consent. */
    fun isLoading(adapter: AdapterVersion): Boolean = adapter in loading || pendingLoads.any { it.adapter == adapter }

    /** The engine restarted: its sequence begins anew. */
    fun engineRestarted() {
        lastSequence = 0
    }

    /** Loads [adapter]; where a full engine makes room by itself, only with consent. */
    fun load(adapter: AdapterVersion) {
        if (ctx.guard.mayLoad(server, client.engine.whenFull, ctx.loop.now())) {
            return sendLoad(adapter, retries = MAX_FENCE_RETRIES) {}
        }
        val asked = ctx.guard.requestLoadConsent(server, adapter, ctx.loop.now())
        ctx.links.send(asked.envelopes)
        pendingLoads += PendingEvict(asked.ticket, adapter, ctx.loop.now())
        settle()
    }

    /** Asks for consent to evict [adapter] and evicts it once all agreed. */
    fun evict(adapter: AdapterVersion) {
        val asked = ctx.guard.requestEvictConsent(server, adapter, ctx.loop.now())
        ctx.links.send(asked.envelopes)
        pending += PendingEvict(asked.ticket, adapter, ctx.loop.now())
        settle()
    }

    /**
     * Gives an order without effect, whose answer puts later reports after this moment: loads a [resident] adapter
     * again, or evicts one that no engine has.
     */
    fun touch(resident: AdapterVersion?) {
        if (touching) return
        touching = true
        val mark = ctx.guard.recordOrder(server)
        val order = if (resident != null) client.load(resident, nextFence()) else client.evict(NOBODYS, nextFence())
        order.publishOn(ctx.loop.scheduler).subscribe { result ->
            touching = false
            ctx.metrics.recordOrder("touch", label(result))
            when (result) {
                is OrderResult.Done -> acknowledged(mark, result.sequence)
                is OrderResult.Rejected -> result.sequence?.let { acknowledged(mark, it) }
                is OrderResult.StaleFence -> advise(result)
                is OrderResult.Unanswered -> Unit
            }
            changed()
        }
    }

    /** Carries out what became ready, and gives up what waited too long. */
    fun settle() {
        pending.toList().forEach(::settleEvict)
        pendingLoads.toList().forEach(::settleLoad)
    }

    private fun settleEvict(evict: PendingEvict) {
        val now = ctx.loop.now()
        when (val verdict = ctx.guard.verdict(evict.ticket, now)) {
            is EvictVerdict.Ready -> {
                pending -= evict
                sendEvict(evict, retries = MAX_FENCE_RETRIES)
            }

            is EvictVerdict.Refused -> giveUp(evict, "refused by ${verdict.by}")

            is EvictVerdict.Waiting -> {
                if (now - evict.since > CONSENT_TIMEOUT_NANOS) giveUp(evict, "no answer of ${verdict.missing}")
            }
        }
    }

    private fun settleLoad(load: PendingEvict) {
        val now = ctx.loop.now()
        when (ctx.guard.verdict(load.ticket, now)) {
            is EvictVerdict.Ready -> {
                pendingLoads -= load
                ctx.guard.orderSent(load.ticket)
                sendLoad(load.adapter, MAX_FENCE_RETRIES) { ctx.links.send(ctx.guard.closeTicket(load.ticket)) }
            }

            is EvictVerdict.Refused -> giveUpLoad(load)

            is EvictVerdict.Waiting -> {
                if (now - load.since > CONSENT_TIMEOUT_NANOS) giveUpLoad(load)
            }
        }
    }

    private fun giveUp(evict: PendingEvict, reason: String) {
        pending -= evict
        ctx.links.send(ctx.guard.closeTicket(evict.ticket))
        scheduler.onEvictRefused(evict.adapter, ctx.loop.now())
        ctx.metrics.recordOrder("evict", "no_consent")
        Logger.debug("event=evict_given_up step=load peer={} adapter={} reason=\"{}\"", server, evict.adapter, reason)
        changed()
    }

    private fun giveUpLoad(load: PendingEvict) {
        pendingLoads -= load
        budget.onLoadEnded(ctx.loop.now())
        ctx.links.send(ctx.guard.closeTicket(load.ticket))
        scheduler.onLoadFailed(load.adapter, ctx.loop.now())
        changed()
    }

    private fun sendEvict(evict: PendingEvict, retries: Int) {
        ctx.guard.orderSent(evict.ticket)
        val mark = ctx.guard.recordOrder(server)
        inFlight++
        client.evict(evict.adapter, nextFence()).publishOn(ctx.loop.scheduler).subscribe { result ->
            inFlight--
            ctx.metrics.recordOrder("evict", label(result))
            when (result) {
                is OrderResult.Done -> evicted(evict, mark, result.sequence)
                is OrderResult.StaleFence -> retryEvict(evict, result, retries)
                is OrderResult.Rejected -> rejected(evict, result)
                is OrderResult.Unanswered -> unanswered(evict)
            }
            changed()
        }
    }

    private fun evicted(evict: PendingEvict, mark: OrderHandle, sequence: Long) {
        acknowledged(mark, sequence)
        residentAt.remove(evict.adapter)
        ctx.links.send(ctx.guard.closeTicket(evict.ticket))
        scheduler.onEvicted(evict.adapter, ctx.loop.now())
        ctx.history.record(EventKind.EVICT) {
            copy(server = client.engine.id.value, adapter = evict.adapter.toString())
        }
    }

    private fun retryEvict(evict: PendingEvict, result: OrderResult.StaleFence, retries: Int) {
        val mayRetry = advise(result) == FenceAdvice.Retry && retries > 0
        if (mayRetry && ctx.guard.verdict(evict.ticket, ctx.loop.now()) is EvictVerdict.Ready) {
            sendEvict(evict, retries - 1)
        } else {
            giveUp(evict, "stale fence")
        }
    }

    private fun rejected(evict: PendingEvict, result: OrderResult.Rejected) {
        if (result.reason != NOT_RESIDENT) return giveUp(evict, result.reason)
        ctx.links.send(ctx.guard.closeTicket(evict.ticket))
        scheduler.onEvicted(evict.adapter, ctx.loop.now())
    }

    private fun unanswered(evict: PendingEvict) {
        ctx.guard.markUnanswered(evict.ticket, checked)
        scheduler.onEvicted(evict.adapter, ctx.loop.now())
        Logger.warn("event=evict_unanswered step=load peer={} adapter={} fenced={}", server, evict.adapter, checked)
    }

    private fun sendLoad(adapter: AdapterVersion, retries: Int, ended: () -> Unit) {
        inFlight++
        loading += adapter
        val mark = ctx.guard.recordOrder(server)
        client.load(adapter, nextFence()).publishOn(ctx.loop.scheduler).subscribe { result ->
            inFlight--
            loading -= adapter
            ctx.metrics.recordOrder("load", label(result))
            when (result) {
                is OrderResult.Done -> loaded(adapter, mark, result.sequence)

                is OrderResult.StaleFence -> {
                    val mayRetry = advise(result) == FenceAdvice.Retry && retries > 0
                    if (mayRetry) return@subscribe sendLoad(adapter, retries - 1, ended)
                    scheduler.onLoadFailed(adapter, ctx.loop.now())
                }

                is OrderResult.Rejected, is OrderResult.Unanswered -> loadFailed(adapter, result)
            }
            budget.onLoadEnded(ctx.loop.now())
            ended()
            changed()
        }
    }

    private fun loaded(adapter: AdapterVersion, mark: OrderHandle, sequence: Long) {
        acknowledged(mark, sequence)
        residentAt[adapter] = ctx.loop.now()
        scheduler.onLoaded(adapter, ctx.loop.now())
        ctx.history.record(EventKind.LOAD) { copy(server = client.engine.id.value, adapter = adapter.toString()) }
    }

    private fun loadFailed(adapter: AdapterVersion, result: OrderResult) {
        scheduler.onLoadFailed(adapter, ctx.loop.now())
        Logger.warn("event=load_failed step=load peer={} adapter={} result={}", server, adapter, label(result))
    }

    private fun acknowledged(mark: OrderHandle, sequence: Long) {
        lastSequence = maxOf(lastSequence, sequence)
        ctx.links.send(ctx.guard.orderAcknowledged(mark, sequence))
    }

    private fun nextFence(): FenceNumber = ctx.fences.next(server, ctx.membership.list.revision)

    private fun advise(result: OrderResult.StaleFence): FenceAdvice =
        ctx.fences.onStaleFence(server, result.highest, ctx.membership.list.revision)

    private fun label(result: OrderResult): String = when (result) {
        is OrderResult.Done -> "done"
        is OrderResult.StaleFence -> "stale_fence"
        is OrderResult.Rejected -> result.reason
        is OrderResult.Unanswered -> "unanswered"
    }

    private companion object {
        const val CONSENT_TIMEOUT_NANOS = 1_000_000_000L
        const val MAX_FENCE_RETRIES = 3
        const val NOT_RESIDENT = "not_resident"
        val NOBODYS = AdapterVersion(AdapterId("none"), VersionId("none"))
    }
}
