package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.work.WorkClass

/**
 * A request that is queued for an engine or runs on it. Times are nanoseconds of the [io.apricotslip.api.time.Ticker].
 *
 * @property prefixHash hash of the start of the prompt, for prefix cache affinity.
 */
public data class WorkItem(
    public val id: RequestId,
    public val adapter: AdapterVersion,
    public val workClass: WorkClass,
    public val customer: CustomerId,
    public val arrivedAt: Long,
    public val deadlineAt: Long,
    public val maxTokens: Int,
    public val prefixHash: Long = 0,
)

/** An action that the scheduler wants its caller to carry out. */
public sealed class EngineAction {
    /** Start [work], whose adapter is resident. [priority] is passed to the engine; 0 is the most urgent. */
    public data class Start(public val work: WorkItem, public val priority: Int) : EngineAction()

    /** Load [adapter] into a free slot. A load was already taken from the store budget for it. */
    public data class Load(public val adapter: AdapterVersion) : EngineAction()

    /** Evict [adapter], which is idle. The scheduler starts nothing on it until the result is reported back. */
    public data class Evict(public val adapter: AdapterVersion) : EngineAction()

    /** Refuse [work] with [code]. It was never started. */
    public data class Refuse(public val work: WorkItem, public val code: RefusalCode) : EngineAction()
}
