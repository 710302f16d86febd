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

/** The engines of the manifest, each with the owner object that serves it on this node. Used on the loop. */
internal class EngineOwners(private val ctx: OwnerContext, private val factory: EngineOwnerFactory) {
    private val owners = LinkedHashMap<BackendServerId, EngineOwner>()
    private val retired = mutableListOf<EngineOwner>()
    private var stopping = false

    /** Owners by engine. */
    fun all(): Collection<EngineOwner> = owners.values

    operator fun get(server: BackendServerId): EngineOwner? = owners[server]

    /** Follows [manifest]: new engines get an owner object, withdrawn ones finish what they run. */
    fun follow(manifest: Manifest) {
        manifest.engines.forEach { entry ->
            val known = owners[entry.id]
            val same = known?.engineEntry()?.let { it.copy(state = entry.state) == entry } == true
            if (known != null && !same) retire(known)
            val owner = if (same) checkNotNull(known) else factory.create(entry).also { owners[entry.id] = it }
            owner.leaving = stopping || entry.state == ServerState.LEAVING
        }
        val gone = owners.keys - manifest.engines.map { it.id }.toSet()
        gone.forEach { retire(owners.getValue(it)) }
    }

    /** This node stops: what waits is refused as not run, so that another VM takes it, and what runs is finished. */
    fun stop() {
        stopping = true
        owners.values.forEach { it.leaving = true }
    }

    /** Handles a message of an entry VM; returns whether it was one for owners. */
    fun receive(from: VmId, message: Message): Boolean {
        when (message) {
            is Message.GenerateStart -> start(from, message)
            is Message.GenerateResume -> resume(from, message)
            is Message.GenerateCancel -> holder(message.request)?.cancel(message.request)
            is Message.GenerateCredit -> holder(message.request)?.credit(message.request, message.upTo)
            else -> return false
        }
        return true
    }

    /** Regular work of all engines. */
    fun tick() {
        everyOne().filter(EngineOwner::isInUse).forEach(EngineOwner::tick)
        retired.removeIf { it.size == 0 }
    }

    /** Asks all engines for reports. */
    fun poll(): Unit = owners.values.forEach(EngineOwner::poll)

    /** Statuses of the engines that this node speaks for. */
    fun statuses(): List<EngineStatus> = owners.values.mapNotNull(EngineOwner::status)

    /** A link went up or down. */
    fun peerChanged(vm: VmId, up: Boolean): Unit = everyOne().forEach { it.peerChanged(vm, up) }

    /** Requests that wait or run here. */
    fun activeRequests(): Int = everyOne().sumOf { it.size }

    private fun everyOne(): List<EngineOwner> = owners.values + retired

    private fun retire(owner: EngineOwner) {
        owners.remove(owner.engineEntry().id)
        owner.leaving = true
        retired += owner
    }

    private fun holder(request: RequestId): EngineOwner? = everyOne().firstOrNull { it.holds(request) }

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
