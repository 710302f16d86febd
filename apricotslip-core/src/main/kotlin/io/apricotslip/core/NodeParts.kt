package io.apricotslip.core

import io.apricotslip.api.id.Incarnation
import io.apricotslip.backends.engine.EngineClientOptions
import io.apricotslip.backends.service.HttpServiceClient
import io.apricotslip.backends.service.ServiceClientOptions
import io.apricotslip.core.entry.EntryCalls
import io.apricotslip.core.entry.EntryContext
import io.apricotslip.core.entry.EntryRouter
import io.apricotslip.core.fleet.NodeStoreBudget
import io.apricotslip.core.fleet.Readiness
import io.apricotslip.core.http.CallerServer
import io.apricotslip.core.link.Links
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.core.manifest.ManifestTracker
import io.apricotslip.core.observe.HistoryRecorder
import io.apricotslip.core.observe.NodeMetrics
import io.apricotslip.core.observe.NodeTraces
import io.apricotslip.core.operators.OperatorServer
import io.apricotslip.core.operators.OperatorView
import io.apricotslip.core.owner.EngineOwnerFactory
import io.apricotslip.core.owner.EngineOwners
import io.apricotslip.core.owner.OwnerContext
import io.apricotslip.core.service.HomeCalls
import io.apricotslip.core.service.IdempotentCalls
import io.apricotslip.core.service.ServiceCalls
import io.apricotslip.platform.HttpPlatformClient
import io.apricotslip.rules.limits.AdmissionLimits
import io.apricotslip.rules.limits.RetryBudget
import io.apricotslip.rules.placement.AdapterPlacement
import io.apricotslip.rules.placement.Placement
import io.apricotslip.rules.placement.PlacementOptions
import io.apricotslip.safety.EvictGuard
import io.apricotslip.safety.FenceCounter
import io.apricotslip.safety.Membership
import io.apricotslip.safety.Reservations
import io.apricotslip.settings.BuildVersion
import io.apricotslip.settings.NodeSettings
import io.apricotslip.wire.KtorPeerNetwork
import io.apricotslip.wire.PeerNetwork
import kotlin.random.Random

/** Composition root of a node: creates its components from [settings] and wires them together. */
internal class NodeParts(val settings: NodeSettings, incarnation: Incarnation) : AutoCloseable {
    private val self = settings.vm.id
    private val engineClients =
        EngineClientOptions(connectMillis = CONNECT_TIMEOUT_MILLIS, acquireMillis = ACQUIRE_TIMEOUT_MILLIS)
    private val random = Random(incarnation.value)

    val loop = NodeLoop()
    val startedAt: Long = loop.now()
    val history = HistoryRecorder(self, settings.history.file)
    val metrics = NodeMetrics()
    val traces = NodeTraces(self.value, settings.traces)
    val network: PeerNetwork =
        KtorPeerNetwork(
            self = self,
            incarnation = incarnation,
            address = settings.vm.address,
            port = settings.peers.port,
            options = SettingsMapping.links(settings.peers),
            build = BuildVersion.value,
        )
    val links = Links(self, network, loop)
    val platform =
        HttpPlatformClient(
            configuration = settings.platform.configuration.toEndpoint(),
            vms = settings.platform.vms.toEndpoint(),
            options = SettingsMapping.platform(settings.platform),
        )
    val membership =
        Membership(
            self = self,
            leaseNanos = settings.peers.leaseMillis * NANOS_PER_MILLI,
            heartbeatNanos = settings.peers.heartbeatMillis * NANOS_PER_MILLI,
            startedAt = loop.now(),
            maxSendDelayNanos = (engineClients.connectMillis + engineClients.acquireMillis) * NANOS_PER_MILLI,
        )
    val guard = EvictGuard(self, membership, incarnation)
    val manifests = ManifestTracker(loop, history)
    val readiness = Readiness(self, loop, membership, manifests)
    val storeBudget = NodeStoreBudget(self, loop, links)
    val placement: Placement = AdapterPlacement(PlacementOptions(), random)
    private val retryBudget = RetryBudget(settings.limits.retryBudgetRatio)
    private val serviceClient = HttpServiceClient(ServiceClientOptions())

    private val ownerContext =
        OwnerContext(
            self = self,
            settings = settings,
            loop = loop,
            links = links,
            membership = membership,
            guard = guard,
            fences = FenceCounter(),
            metrics = metrics,
            traces = traces,
            history = history,
        )
    val owners =
        EngineOwners(
            ctx = ownerContext,
            factory =
            EngineOwnerFactory(
                ctx = ownerContext,
                options = SettingsMapping.scheduler(settings.policy, settings.limits),
                clients = engineClients,
                random = random,
                budget = storeBudget,
            ),
        )
    private val entryContext =
        EntryContext(
            self = self,
            settings = settings,
            loop = loop,
            links = links,
            membership = membership,
            manifests = manifests,
            metrics = metrics,
            traces = traces,
            history = history,
            ready = { readiness.reasons().isEmpty() },
        )
    val router = EntryRouter(entryContext, placement, retryBudget)
    val entry =
        EntryCalls(
            ctx = entryContext,
            limits = AdmissionLimits(SettingsMapping.admission(settings.limits)),
            router = router,
        )
    val services = ServiceCalls(entryContext, IdempotentCalls(entryContext, serviceClient, retryBudget))
    val home =
        HomeCalls(
            ctx = entryContext,
            reservations =
            Reservations(
                self = self,
                membership = membership,
                clockSkewMillis = settings.reservations.clockSkewMillis,
                retentionMillis = settings.reservations.retentionMillis,
            ),
            client = serviceClient,
            wallMillis = System::currentTimeMillis,
        )

    init {
        metrics.registerGauge("apricotslip_manifest_revision", "Revision in force.") {
            manifests.revision.value.toDouble()
        }
        metrics.registerGauge("apricotslip_list_revision", "Revision of the adopted list of VMs.") {
            membership.list.revision.value.toDouble()
        }
        metrics.registerGauge("apricotslip_lease_held", "1 while a majority answers.") {
            if (membership.leaseHeld(loop.now())) 1.0 else 0.0
        }
        metrics.registerGauge("apricotslip_platform_calls", "Calls to the platform so far.") {
            platform.calls.toDouble()
        }
        metrics.registerGauge(
            "apricotslip_store_loads_available",
            "Loads of the weight store that this VM may start now.",
        ) {
            storeBudget.available()
        }
        metrics.registerGauge("apricotslip_requests_running", "Requests under way.") { activeRequests().toDouble() }
    }

    /** Number of requests of this VM's callers, plus those that it serves for other VMs. */
    fun activeRequests(): Int = entry.size + services.size + home.running + owners.activeRequests()

    /** Makes this node refuse new requests; requests in progress continue. */
    fun stopAdmitting() {
        entry.stopping = true
        services.stopping = true
        owners.stop()
    }

    fun operatorServer(view: OperatorView) = OperatorServer(settings.operators, view)

    fun callerServer() = CallerServer(self.value, settings.callers, entry, services)

    override fun close() {
        network.close()
        loop.close()
        traces.close()
        history.close()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val CONNECT_TIMEOUT_MILLIS = 500
        const val ACQUIRE_TIMEOUT_MILLIS = 200L
    }
}
