package io.apricotslip.core.owner

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.Incarnation
import io.apricotslip.backends.engine.EngineClient
import io.apricotslip.backends.engine.EngineReport
import io.apricotslip.rules.engine.EngineScheduler
import io.apricotslip.safety.Role
import org.tinylog.kotlin.Logger

/**
 * Polls one engine for reports, and corrects the scheduler's resident adapters by them. Confined to the node's event
 * loop.
 */
internal class EngineReports(
    private val ctx: OwnerContext,
    private val client: EngineClient,
    private val scheduler: EngineScheduler,
    private val orders: EngineOrders,
    private val onChange: () -> Unit,
) {
    private val server = client.engine.id
    private var incarnation: Long? = null
    private var reportPending = false

    /** Whether the engine answered the last report request. */
    var reachable: Boolean = false
        private set

    /** Requests a report from the engine, unless an earlier request is still pending. */
    fun poll() {
        if (reportPending) return
        reportPending = true
        client.report().publishOn(ctx.loop.scheduler).subscribe(::onReport, ::onReportFailed)
    }

    private fun onReportFailed(error: Throwable) {
        reportPending = false
        if (reachable) Logger.warn("event=engine_unreachable step=route peer={} reason=\"{}\"", server, error.message)
        reachable = false
    }

    private fun onReport(report: EngineReport) {
        reportPending = false
        val now = ctx.loop.now()
        val resident = report.adapters.filter { it.resident }.map { it.adapter }
        if (report.incarnation != incarnation) {
            onNewIncarnation(report, resident, now)
        } else {
            reconcile(report, resident, now)
        }
        reachable = true
        val running = report.adapters.associate { it.adapter to it.running }
        ctx.guard.reportReceived(server, Incarnation(report.incarnation), report.sequence, running)
        scheduler.updateForeignUse(ctx.guard.foreignUse(server), now)
        if (needsNoOpOrder(now)) orders.sendNoOpOrder(resident.firstOrNull())
        onChange()
    }

    private fun onNewIncarnation(report: EngineReport, resident: List<AdapterVersion>, now: Long) {
        val known = incarnation != null
        incarnation = report.incarnation
        if (known) {
            Logger.warn("event=engine_restarted step=route peer={} incarnation={}", server, report.incarnation)
            ctx.links.send(ctx.guard.engineRestarted(server))
            orders.engineRestarted()
        }
        scheduler.reset(resident, now)
    }

    /**
     * Applies the loads and evictions of other VMs to the scheduler, unless the report may not reflect an order of this
     * node yet.
     */
    private fun reconcile(report: EngineReport, resident: List<AdapterVersion>, now: Long) {
        if (orders.hasUnreportedOrders || report.sequence < orders.lastSequence) return
        val removed = scheduler.residentAdapters - resident.toSet()
        removed.forEach { scheduler.onEvicted(it, now) }
        val added = resident - scheduler.residentAdapters
        added.forEach { scheduler.onLoaded(it, now) }
        if (isOwner(now) && removed.size + added.size > 0) {
            Logger.info("event=residents_corrected peer={} gone={} new={}", server, removed.size, added.size)
        }
    }

    /** Whether reports are not yet known to be newer than the orders of a former owner. */
    private fun needsNoOpOrder(now: Long): Boolean = ctx.membership.roleFor(server, now) != Role.None &&
        ctx.membership.leaseHeld(now) &&
        !ctx.guard.olderOrdersFenced(server)

    private fun isOwner(now: Long): Boolean = ctx.membership.roleFor(server, now) == Role.Owner
}
