package io.apricotslip.safety

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId

/**
 * Passes that this VM has sent and received: rule 4 of docs/DESIGN.md. With a pass, a VM outside the ranking of an
 * engine tells the engine's owner that it runs nothing there.
 */
internal class Passes {
    private val received = HashMap<BackendServerId, HashMap<VmId, ListRevision>>()
    private val sent = HashMap<BackendServerId, SentPass>()

    fun recordReceived(from: VmId, server: BackendServerId, revision: ListRevision) {
        received.getOrPut(server) { HashMap() }.merge(from, revision, ::maxOf)
    }

    fun hasPass(vm: VmId, server: BackendServerId, revision: ListRevision): Boolean =
        received[server]?.get(vm) == revision

    /** Whether the pass for [server] is due at [now]; if so, records it as sent. It is repeated every [repeatNanos]. */
    fun recordIfDue(server: BackendServerId, tenured: VmList, repeatNanos: Long, now: Long): Boolean {
        val last = sent[server]
        if (last != null && last.revision == tenured.revision && now - last.at < repeatNanos) return false
        sent[server] = SentPass(tenured.revision, now)
        return true
    }

    private data class SentPass(val revision: ListRevision, val at: Long)
}
