package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.rules.store.StoreBudget

/**
 * Decides which requests to start and which adapters to load and evict on one engine.
 *
 * Implementations read no clock, do no I/O and are called from a single thread. The owner of the engine reports events
 * to the scheduler and carries out the actions that [decide] returns. Times are nanoseconds.
 */
public interface EngineScheduler {
    /** Adapters that are resident according to the scheduler's own bookkeeping. */
    public val residentAdapters: Set<AdapterVersion>

    /** Queues [work]. When the queue is full, the next [decide] refuses the least urgent request. */
    public fun enqueue(work: WorkItem, now: Long)

    /** Removes the request [id] if it is still queued; returns whether it was. */
    public fun cancel(id: RequestId, now: Long): Boolean

    /** Records that a started request ended after [tokens] tokens, for whatever reason. */
    public fun onFinished(id: RequestId, tokens: Int, now: Long)

    /** Records that the engine refused to start [id] before doing any work; the request is queued again. */
    public fun onStartRefused(id: RequestId, adapterMissing: Boolean, now: Long)

    /** Records that [adapter] is resident. */
    public fun onLoaded(adapter: AdapterVersion, now: Long)

    /** Records that the load of [adapter] failed; it is retried after a backoff. */
    public fun onLoadFailed(adapter: AdapterVersion, now: Long)

    /** Records that [adapter] is no longer resident. */
    public fun onEvicted(adapter: AdapterVersion, now: Long)

    /** Records that the evict of [adapter] was not sent. It stays resident and is no victim for a while. */
    public fun onEvictRefused(adapter: AdapterVersion, now: Long)

    /** Replaces the resident adapters by [resident], after a cold restart or when the engine's state was unknown. */
    public fun reset(resident: List<AdapterVersion>, now: Long)

    /**
     * Replaces the reported counts of requests of other VMs [running] on resident adapters. Such adapters are never
     * chosen as victims.
     */
    public fun updateForeignUse(running: Map<AdapterVersion, Int>, now: Long)

    /** Sets whether [decide] may return loads and evicts. */
    public fun setOrdersAllowed(allowed: Boolean)

    /** Returns the actions to carry out now. */
    public fun decide(now: Long, budget: StoreBudget): List<EngineAction>

    /** Time at which to call [decide] again if no event arrives before; `Long.MAX_VALUE` for never. */
    public fun wakeAt(now: Long): Long

    /** Status of the engine to report to the other nodes. */
    public fun status(now: Long): EngineStatus
}
