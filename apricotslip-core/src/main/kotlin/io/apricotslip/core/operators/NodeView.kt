package io.apricotslip.core.operators

import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.operators.DrainAnswer
import io.apricotslip.api.operators.EngineRole
import io.apricotslip.api.operators.FaultAnswer
import io.apricotslip.api.operators.ManifestInForce
import io.apricotslip.api.operators.NodeStatus
import io.apricotslip.api.operators.PeerStatus
import io.apricotslip.api.operators.RefusedManifest
import io.apricotslip.api.operators.RunningRequest
import io.apricotslip.core.NodeParts
import io.apricotslip.core.owner.EngineOwner
import io.apricotslip.safety.Role
import io.apricotslip.settings.BuildVersion
import reactor.core.publisher.Mono

/** Builds the answers to operators from the node's state, on the node loop. */
internal class NodeView(private val parts: NodeParts, private val stop: () -> Mono<Void>) : OperatorView {
    override fun status(): Mono<NodeStatus> = onLoop(::buildStatus)

    override fun manifest(): Mono<ManifestInForce> = onLoop(::buildManifest)

    override fun refused(): Mono<List<RefusedManifest>> = onLoop {
        parts.manifests.refused.map { refusal ->
            RefusedManifest(
                publishedRevision = refusal.publishedRevision,
                source = refusal.source,
                agoMillis = (parts.loop.now() - refusal.refusedAt) / NANOS_PER_MILLI,
                faults = refusal.faults.map { FaultAnswer(it.path, it.reason) },
            )
        }
    }

    override fun running(): Mono<List<RunningRequest>> = onLoop(parts.entry::running)

    override fun drain(): Mono<DrainAnswer> = onLoop {
        stop().subscribe()
        DrainAnswer(vm = parts.settings.vm.id, draining = true, running = parts.activeRequests())
    }

    override fun metrics(): Mono<String> = onLoop(parts.metrics::scrape)

    private fun buildStatus() = NodeStatus(
        vm = parts.settings.vm.id,
        zone = parts.settings.vm.zone,
        version = BuildVersion.value,
        uptimeMillis = (parts.loop.now() - parts.startedAt) / NANOS_PER_MILLI,
        notReady = parts.readiness.reasons(),
        stopping = parts.readiness.stopping,
        leaseHeld = parts.membership.leaseHeld(parts.loop.now()),
        listRevision = parts.membership.list.revision,
        tenuredRevision = parts.membership.tenured?.revision ?: ListRevision(0),
        manifestRevision = parts.manifests.current?.revision,
        running = parts.activeRequests(),
        peers = peers(),
        engines = parts.owners.all().map(::engine),
    )

    private fun peers(): List<PeerStatus> =
        parts.membership.list.vms.map { it.id }.filter { it != parts.settings.vm.id }.map {
            PeerStatus(
                vm = it,
                connected = parts.links.isUp(it),
                listRevision = parts.membership.peerListRevision(it) ?: ListRevision(0),
                manifestRevision = parts.membership.peerManifestRevision(it) ?: ManifestRevision(0),
            )
        }

    private fun engine(owner: EngineOwner) = EngineRole(
        server = owner.engineEntry().id,
        role =
        when (owner.role()) {
            is Role.Owner -> "owner"
            is Role.Standby -> "standby"
            is Role.None -> "none"
        },
        reachable = owner.reachable,
        status = owner.status(),
    )

    private fun buildManifest(): ManifestInForce {
        val active = parts.manifests.active
        val manifest = active?.manifest
        return ManifestInForce(
            vm = parts.settings.vm.id,
            revision = manifest?.revision,
            source = active?.source,
            inForceMillis = if (active == null) 0 else (parts.loop.now() - active.activeSince) / NANOS_PER_MILLI,
            models = manifest?.models?.size ?: 0,
            adapters = manifest?.adapters?.size ?: 0,
            engines = manifest?.engines?.size ?: 0,
            services = manifest?.services?.size ?: 0,
        )
    }

    private fun <T : Any> onLoop(read: () -> T): Mono<T> = Mono.fromCallable(read).subscribeOn(parts.loop.scheduler)

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
