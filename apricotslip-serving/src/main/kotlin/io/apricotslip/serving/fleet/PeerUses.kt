package io.apricotslip.serving.fleet

import io.apricotslip.api.id.VmId

/** Work of other nodes at one server, by the node that reported it; the sum is kept up to date by each change. */
internal class PeerUses {
    private class Use(val utilization: ServerUtilization, val adapters: Set<ServedAdapter>)

    private val bySource = HashMap<VmId, Use>()

    /** Work of all other nodes. */
    var total: ServerUtilization = ServerUtilization()
        private set

    /** Adapters that the work of other nodes uses or waits for. */
    var adapters: Set<ServedAdapter> = emptySet()
        private set

    /** Replaces the work of [source]. */
    fun update(source: VmId, utilization: ServerUtilization, adapters: Set<ServedAdapter>) {
        bySource[source] = Use(utilization, adapters)
        recompute()
    }

    /** Removes the work of [source]. */
    fun remove(source: VmId) {
        if (bySource.remove(source) != null) recompute()
    }

    private fun recompute() {
        total = bySource.values.fold(ServerUtilization()) { sum, use -> sum + use.utilization }
        adapters = bySource.values.flatMapTo(HashSet()) { it.adapters }
    }
}
