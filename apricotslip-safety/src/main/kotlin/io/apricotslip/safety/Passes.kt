package io.apricotslip.safety

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId

/** Passes that this VM has told and received: rule 4 of docs/DESIGN.md. */
internal class Passes {
    private val received = HashMap<BackendServerId, HashMap<VmId, ListRevision>>()
    private val told = HashMap<BackendServerId, Told>()

    fun received(from: VmId, server: BackendServerId, revision: ListRevision) {
        received.getOrPut(server) { HashMap() }.merge(from, revision, ::maxOf)
    }

    fun holds(vm: VmId, server: BackendServerId, revision: ListRevision): Boolean =
        received[server]?.get(vm) == revision

    /** Whether the pass for [server] is to be told now; counts as told when it is. */
    fun due(server: BackendServerId, tenured: VmList, repeatNanos: Long, now: Long): Boolean {
        val last = told[server]
        if (last != null && last.revision == tenured.revision && now - last.at < repeatNanos) return false
        told[server] = Told(tenured.revision, now)
        return true
    }

    private data class Told(val revision: ListRevision, val at: Long)
}
