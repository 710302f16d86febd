package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.work.WorkClass

/**
 * A request that waits for or runs on an engine. Times are nanoseconds of the [io.apricotslip.api.time.Ticker].
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

/** What a scheduler asks its node to do. */
public sealed class EngineAction {
    /** Start [work]; its adapter is resident. [priority] is the engine's: 0 is the most urgent. */
    public data class Start(public val work: WorkItem, public val priority: Int) : EngineAction()

    /** Load [adapter] into a free slot. A token of the store was taken. */
    public data class Load(public val adapter: AdapterVersion) : EngineAction()

    /** Evict [adapter], which is idle. Nothing is started on it until the scheduler is told the result. */
    public data class Evict(public val adapter: AdapterVersion) : EngineAction()

    /** Refuse [work], which never ran. */
    public data class Refuse(public val work: WorkItem, public val code: RefusalCode) : EngineAction()
}
