package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion

/**
 * Frees a slot when every resident adapter is in use and other work has waited long: on one adapter nothing is started
 * any more that arrived after that work.
 */
internal class Drain {
    var adapter: AdapterVersion? = null
        private set
    private var before = Long.MAX_VALUE

    fun begin(adapter: AdapterVersion?, before: Long) {
        this.adapter = adapter
        this.before = before
    }

    fun end() = begin(null, Long.MAX_VALUE)

    fun holds(work: WorkItem): Boolean = work.adapter == adapter && work.arrivedAt >= before
}
