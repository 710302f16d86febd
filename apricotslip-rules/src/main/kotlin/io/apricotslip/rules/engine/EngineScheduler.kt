package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.rules.store.StoreBudget

/**
 * Decides for one engine what to start, load and evict. Pure: no clock, no I/O, one thread. The owner of the engine
 * feeds it with what happens and carries out what [decide] returns.
 */
public interface EngineScheduler {
    /** Adapters that are resident by the own count. */
    public val residentAdapters: Set<AdapterVersion>

    /** Adds [work]; the answer to a full queue is a refusal from the next [decide]. */
    public fun enqueue(work: WorkItem, now: Long)

    /** Removes [id] if it still waits; returns whether it did. */
    public fun cancel(id: RequestId, now: Long): Boolean

    /** A started request ended after [tokens] tokens, for whatever reason. */
    public fun onFinished(id: RequestId, tokens: Int, now: Long)

    /** The engine refused to start [id] before any work; it waits again. */
    public fun onStartRefused(id: RequestId, adapterMissing: Boolean, now: Long)

    /** [adapter] is resident. */
    public fun onLoaded(adapter: AdapterVersion, now: Long)

    /** The load of [adapter] failed; retried after a backoff. */
    public fun onLoadFailed(adapter: AdapterVersion, now: Long)

    /** [adapter] is no longer resident. */
    public fun onEvicted(adapter: AdapterVersion, now: Long)

    /** [adapter] stays resident; the evict was not sent. Another victim is sought for a while. */
    public fun onEvictRefused(adapter: AdapterVersion, now: Long)

    /** The engine restarted cold, or its state is not known yet: nothing is resident but [resident]. */
    public fun reset(resident: List<AdapterVersion>, now: Long)

    /** Work of other VMs on resident adapters, as reported: not to be chosen as victims. */
    public fun updateForeignUse(running: Map<AdapterVersion, Int>, now: Long)

    /** Whether evicts and loads may be proposed at all. */
    public fun setOrdersAllowed(allowed: Boolean)

    /** What to do now. */
    public fun decide(now: Long, budget: StoreBudget): List<EngineAction>

    /** Nanoseconds when [decide] should be called again although nothing happened; `Long.MAX_VALUE` for never. */
    public fun wakeAt(now: Long): Long

    /** What to tell the other nodes. */
    public fun status(now: Long): EngineStatus
}
