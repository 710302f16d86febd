package io.apricotslip.e2e.cluster

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmState
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.api.manifest.ManifestText
import io.apricotslip.settings.CallerSettings
import io.apricotslip.settings.HistorySettings
import io.apricotslip.settings.NodeSettings
import io.apricotslip.settings.OperatorSettings
import io.apricotslip.settings.PeerSettings
import io.apricotslip.settings.PlatformAddress
import io.apricotslip.settings.PlatformSettings
import io.apricotslip.settings.VmSettings
import io.apricotslip.testutils.history.CallerRecorder
import io.apricotslip.testutils.history.History
import io.apricotslip.testutils.history.HistoryFiles
import io.apricotslip.testutils.process.DaemonRunner
import io.apricotslip.testutils.process.DaemonSpec
import io.apricotslip.testutils.relay.FaultRelay
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path

/**
 * A test cluster of stand-ins and nodes, which run as processes on free loopback ports. Links between nodes and
 * connections from nodes to the platform pass through fault relays.
 */
internal class Cluster(val options: ClusterOptions, private val directory: Path) : AutoCloseable {
    private val runner = DaemonRunner(directory)
    private val histories = mutableListOf<Path>()
    private val linkRelays = mutableMapOf<String, FaultRelay>()
    private val platformRelays = mutableMapOf<String, List<FaultRelay>>()
    private var states = mapOf<String, VmState>()

    val recorder = CallerRecorder()
    val standins = Standins(runner, directory, options)
    val manifests = Manifests(options, standins)
    val nodes = linkedMapOf<String, NodeProcess>()

    /** Starts the nodes and waits until all are ready and each engine has an owner. */
    fun start() {
        commit(manifests.of(revision = 1))
        names().forEach(::startNode)
        publishVmList(names().associateWith { VmState.LIVE })
        awaitReady(names())
        await("an owner for each engine") { countOwnedEngines() == options.engines.size }
    }

    private fun countOwnedEngines(): Int =
        nodes.values.sumOf { OWNED_ENGINE.findAll(Http.get(it.operatorPort, "/v1/status").body).count() }

    fun names(): List<String> = (1..options.vms).map { "vm-$it" }

    fun node(vm: String): NodeProcess = nodes.getValue(vm)

    /** Returns the relay of the links that other nodes open to [vm]; the node with the lower name opens a link. */
    fun relayTo(vm: String): FaultRelay = linkRelays.getValue(vm)

    /** Returns the relays from [vm] to the configuration service and the VM list service. */
    fun platformRelaysOf(vm: String): List<FaultRelay> = platformRelays.getValue(vm)

    /**
     * Applies [fault] to every link between [vm] and the other VMs.
     *
     * @param fault is called with null for links that others open to [vm], and with [vm] for links that it opens.
     */
    fun applyToLinksOf(vm: String, fault: FaultRelay.(from: String?) -> Unit) {
        relayTo(vm).fault(null)
        names().filter { it > vm }.forEach { relayTo(it).fault(vm) }
    }

    /** Clears the faults of all links between nodes. */
    fun healLinks() = linkRelays.values.forEach(FaultRelay::heal)

    /** Commits [manifest] to the configuration service. */
    fun commit(manifest: Manifest) = commitText(manifest.revision.value, ManifestText.write(manifest))

    /** Commits [text] to the configuration service as [revision]. */
    fun commitText(revision: Long, text: String) {
        val reply = Http.post(standins.config.adminPort, "/admin/commit/manifest?revision=$revision", text)
        check(reply.status in SUCCESS_STATUSES) { "commit of revision $revision failed: $reply" }
    }

    /** Publishes the VM list. */
    fun publishVmList(vms: Map<String, VmState>) {
        states = vms
        val list = vms.map { (vm, state) -> Vm(VmId(vm), zone(vm), LOOPBACK, relayTo(vm).port, state = state) }
        val body = Json.encodeToString(ListSerializer(Vm.serializer()), list)
        val reply = Http.post(standins.vmList.adminPort, "/admin/vms", body)
        check(reply.status in SUCCESS_STATUSES) { "publishing the VM list failed: $reply" }
    }

    /** Starts or restarts the node of [vm]; each incarnation writes its own history file. */
    fun startNode(vm: String): NodeProcess {
        val history = directory.resolve("$vm-${histories.size}.history").also(histories::add)
        val settings = options.customizeSettings(settings(vm, history))
        val file = directory.resolve("$vm-${histories.size}.jsonc")
        Files.writeString(file, Json.encodeToString(NodeSettings.serializer(), settings))
        val spec =
            DaemonSpec(
                name = vm,
                mainClass = "io.apricotslip.node.NodeKt",
                arguments = listOf("--settings", file.toString()),
                readyLine = Regex("""listening callers=(\d+) operators=(\d+) peers=(\d+)"""),
            )
        val daemon = runner.start(spec)
        val (callerPort, operatorPort, peerPort) = daemon.awaitReady().map { it.toInt() }
        val target = InetSocketAddress(LOOPBACK, peerPort)
        linkRelays.getOrPut(vm) { FaultRelay(target, ::sourceOf) }.target = target
        return NodeProcess(vm, daemon, callerPort, operatorPort, peerPort).also { nodes[vm] = it }
    }

    /** Waits until the nodes of [vms] accept requests from callers. */
    fun awaitReady(vms: Collection<String>) = vms.forEach { vm ->
        await("$vm to be ready", { "${node(vm).readinessReport()} ${node(vm).daemon.stderrFile}" }) {
            node(vm).isReady()
        }
    }

    /** Polls until [condition] holds; fails after a timeout, reporting [what] was awaited and the current [state]. */
    fun await(what: String, state: () -> String = { "" }, condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) { "timed out waiting for $what: ${state()}" }
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
    }

    /** Returns the response body of `GET /v1/manifest`, the manifest in force on [node]. */
    fun manifestInForce(node: NodeProcess): String = Http.get(node.operatorPort, "/v1/manifest").body

    /** Returns all events recorded so far. */
    fun history(): History = HistoryFiles.join(histories + standins.histories, recorder.events())

    override fun close() {
        nodes.values.filter { it.daemon.isAlive }.forEach(::saveStatus)
        (linkRelays.values + platformRelays.values.flatten()).forEach(FaultRelay::close)
        runner.close()
    }

    /** Saves the final status and metrics of [node] for the analysis of a failed run. */
    private fun saveStatus(node: NodeProcess) {
        for (path in listOf("/v1/status", "/metrics")) {
            val text = runCatching { Http.get(node.operatorPort, path).body }.getOrElse { it.toString() }
            Files.writeString(directory.resolve("${node.vm}${path.replace('/', '-')}"), text)
        }
    }

    private fun settings(vm: String, history: Path): NodeSettings {
        val (configuration, vmList) =
            platformRelays.getOrPut(vm) {
                listOf(standins.config, standins.vmList).map { FaultRelay(InetSocketAddress(LOOPBACK, it.port)) }
            }
        return NodeSettings(
            vm = VmSettings(VmId(vm), zone(vm), LOOPBACK),
            callers = CallerSettings(LOOPBACK, port = 0),
            operators = OperatorSettings(port = 0),
            peers = PeerSettings(port = 0),
            platform =
            PlatformSettings(PlatformAddress(LOOPBACK, configuration.port), PlatformAddress(LOOPBACK, vmList.port)),
            history = HistorySettings(history.toString()),
        )
    }

    private fun zone(vm: String) = ZoneId("z${vm.substringAfter('-')}")

    /** Returns the VM that opened a link, which is named in the hello message at its start. */
    private fun sourceOf(firstBytes: ByteArray): String? = VM_NAME.find(firstBytes.toString(Charsets.ISO_8859_1))?.value

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val AWAIT_TIMEOUT_NANOS = 60_000_000_000L
        const val POLL_INTERVAL_MILLIS = 100L
        val SUCCESS_STATUSES = 200..299
        val OWNED_ENGINE = Regex(""""role":"owner","reachable":true""")
        val VM_NAME = Regex("""vm-\d+""")
    }
}
