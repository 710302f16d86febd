package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion

/**
 * Drains one adapter so that it becomes idle and can be evicted.
 *
 * Used when every resident adapter is in use and work for another adapter has waited long. Requests for the drained
 * adapter that arrived at or after the cutoff, the arrival of that work, are not started.
 */
internal class AdapterDrain {
    var adapter: AdapterVersion? = null
        private set
    private var arrivalCutoff = Long.MAX_VALUE

    fun start(adapter: AdapterVersion?, arrivalCutoff: Long) {
        this.adapter = adapter
        this.arrivalCutoff = arrivalCutoff
    }

    fun stop() = start(null, Long.MAX_VALUE)

    /** Whether [work] must not start because its adapter is being drained. */
    fun blocks(work: WorkItem): Boolean = work.adapter == adapter && work.arrivedAt >= arrivalCutoff
}
