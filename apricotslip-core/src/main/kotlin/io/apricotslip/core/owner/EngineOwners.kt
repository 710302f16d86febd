package io.apricotslip.core.owner

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.api.manifest.ServerState
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.wire.Message

/**
 * Registry of the [EngineOwner] of each engine in the manifest. Owners of removed or changed engines are kept as
 * retired until their requests have ended. Confined to the node's event loop.
 */
internal class EngineOwners(private val ctx: OwnerContext, private val factory: EngineOwnerFactory) {
    private val owners = LinkedHashMap<BackendServerId, EngineOwner>()
    private val retired = mutableListOf<EngineOwner>()
    private var stopping = false

    /** Owners of the engines in the manifest, without the retired ones. */
    fun all(): Collection<EngineOwner> = owners.values

    operator fun get(server: BackendServerId): EngineOwner? = owners[server]

    /**
     * Applies [manifest]: creates an owner for each new or changed engine, and retires the owners of removed or changed
     * ones, which finish the requests in progress.
     */
    fun applyManifest(manifest: Manifest) {
        manifest.engines.forEach { entry ->
            val existing = owners[entry.id]
            val unchanged = existing?.engineEntry()?.let { it.copy(state = entry.state) == entry } == true
            if (existing != null && !unchanged) retire(existing)
            val owner = if (unchanged) checkNotNull(existing) else factory.create(entry).also { owners[entry.id] = it }
            owner.draining = stopping || entry.state == ServerState.LEAVING
        }
        val removed = owners.keys - manifest.engines.map { it.id }.toSet()
        removed.forEach { retire(owners.getValue(it)) }
    }

    /**
     * Starts draining all engines for the shutdown of this node. Waiting requests are refused with the certainty that
     * they did not run, so that another VM can serve them; running requests are finished.
     */
    fun stop() {
        stopping = true
        owners.values.forEach { it.draining = true }
    }

    /** Handles a message from the entry VM [from]; returns false if [message] is not addressed to owners. */
    fun receive(from: VmId, message: Message): Boolean {
        when (message) {
            is Message.GenerateStart -> start(from, message)
            is Message.GenerateResume -> resume(from, message)
            is Message.GenerateCancel -> ownerOf(message.request)?.cancel(message.request)
            is Message.GenerateCredit -> ownerOf(message.request)?.credit(message.request, message.upTo)
            else -> return false
        }
        return true
    }

    /** Runs the periodic work of all owners in use, and drops retired owners without requests. */
    fun tick() {
        allIncludingRetired().filter(EngineOwner::isInUse).forEach(EngineOwner::tick)
        retired.removeIf { it.size == 0 }
    }

    /** Requests reports from all engines. */
    fun pollReports(): Unit = owners.values.forEach(EngineOwner::pollReport)

    /** Statuses of the engines that this node reports for. */
    fun statuses(): List<EngineStatus> = owners.values.mapNotNull(EngineOwner::status)

    /** Handles a change of the link to [vm]. */
    fun peerLinkChanged(vm: VmId, up: Boolean): Unit = allIncludingRetired().forEach { it.peerLinkChanged(vm, up) }

    /** Number of requests that wait or run at any owner, including the retired ones. */
    fun activeRequests(): Int = allIncludingRetired().sumOf { it.size }

    private fun allIncludingRetired(): List<EngineOwner> = owners.values + retired

    private fun retire(owner: EngineOwner) {
        owners.remove(owner.engineEntry().id)
        owner.draining = true
        retired += owner
    }

    private fun ownerOf(request: RequestId): EngineOwner? = allIncludingRetired().firstOrNull { it.contains(request) }

    private fun start(from: VmId, message: Message.GenerateStart) {
        val owner = owners[message.server]
        if (owner != null) return owner.start(from, message)
        refuse(from, message.request, message.server, Certainty.NOT_RUN)
    }

    private fun resume(from: VmId, message: Message.GenerateResume) {
        val owner = owners[message.server]
        if (owner != null) return owner.resume(from, message)
        refuse(from, message.request, message.server, Certainty.UNKNOWN)
    }

    private fun refuse(from: VmId, request: RequestId, server: BackendServerId, certainty: Certainty) {
        val detail = "the manifest in force here has no backend server $server"
        val refusal = Refusal(RefusalCode.NO_BACKEND_SERVER, Step.ROUTE, ctx.self.value, certainty, detail)
        ctx.links.send(from, Message.GenerateRefused(request, refusal))
    }
}
