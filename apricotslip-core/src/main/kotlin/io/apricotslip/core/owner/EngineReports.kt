package io.apricotslip.core.owner

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.Incarnation
import io.apricotslip.backends.engine.EngineClient
import io.apricotslip.backends.engine.EngineReport
import io.apricotslip.rules.engine.EngineScheduler
import io.apricotslip.safety.Role
import org.tinylog.kotlin.Logger

/** Reads the reports of one engine, and corrects the own count by them. Used on the loop. */
internal class EngineReports(
    private val ctx: OwnerContext,
    private val client: EngineClient,
    private val scheduler: EngineScheduler,
    private val orders: EngineOrders,
    private val changed: () -> Unit,
) {
    private val server = client.engine.id
    private var incarnation: Long? = null
    private var asking = false

    /** Whether the engine answered its last report. */
    var reachable: Boolean = false
        private set

    /** Asks the engine for a report, unless an answer is still awaited. */
    fun poll() {
        if (asking) return
        asking = true
        client.report().publishOn(ctx.loop.scheduler).subscribe(::reported, ::lost)
    }

    private fun lost(error: Throwable) {
        asking = false
        if (reachable) Logger.warn("event=engine_unreachable step=route peer={} reason=\"{}\"", server, error.message)
        reachable = false
    }

    private fun reported(report: EngineReport) {
        asking = false
        val now = ctx.loop.now()
        val resident = report.adapters.filter { it.resident }.map { it.adapter }
        if (report.incarnation != incarnation) restarted(report, resident, now) else reconcile(report, resident, now)
        reachable = true
        val running = report.adapters.associate { it.adapter to it.running }
        ctx.guard.reportReceived(server, Incarnation(report.incarnation), report.sequence, running)
        scheduler.updateForeignUse(ctx.guard.foreignUse(server), now)
        if (mustTouch(now)) orders.touch(resident.firstOrNull())
        changed()
    }

    private fun restarted(report: EngineReport, resident: List<AdapterVersion>, now: Long) {
        val known = incarnation != null
        incarnation = report.incarnation
        if (known) {
            Logger.warn("event=engine_restarted step=route peer={} incarnation={}", server, report.incarnation)
            ctx.links.send(ctx.guard.engineRestarted(server))
            orders.engineRestarted()
        }
        scheduler.reset(resident, now)
    }

    /** Corrects the own count by what other VMs loaded or evicted, unless an own order may not show yet. */
    private fun reconcile(report: EngineReport, resident: List<AdapterVersion>, now: Long) {
        if (orders.underWay || report.sequence < orders.lastSequence) return
        val gone = scheduler.residentAdapters - resident.toSet()
        gone.forEach { scheduler.onEvicted(it, now) }
        val new = resident - scheduler.residentAdapters
        new.forEach { scheduler.onLoaded(it, now) }
        if (isOwner(now) && gone.size + new.size > 0) {
            Logger.info("event=residents_corrected peer={} gone={} new={}", server, gone.size, new.size)
        }
    }

    /** Whether reports cannot be told to follow the former owner's orders yet. */
    private fun mustTouch(now: Long): Boolean = ctx.membership.roleFor(server, now) != Role.None &&
        ctx.membership.leaseHeld(now) &&
        !ctx.guard.olderOrdersFenced(server)

    private fun isOwner(now: Long): Boolean = ctx.membership.roleFor(server, now) == Role.Owner
}
