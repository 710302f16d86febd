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
 * Stand-ins and nodes as processes on loopback, on free ports. Links between nodes, and each node's ways to the
 * platform, go through relays.
 */
internal class Cluster(val options: ClusterOptions, private val directory: Path) : AutoCloseable {
    private val runner = DaemonRunner(directory)
    private val histories = mutableListOf<Path>()
    private val links = mutableMapOf<String, FaultRelay>()
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
        publishList(names().associateWith { VmState.LIVE })
        awaitReady(names())
        await("an owner for each engine") { owners() == options.engines.size }
    }

    private fun owners(): Int = nodes.values.sumOf { OWNER.findAll(Http.get(it.operators, "/v1/status").body).count() }

    fun names(): List<String> = (1..options.vms).map { "vm-$it" }

    fun node(vm: String): NodeProcess = nodes.getValue(vm)

    /** The relay of the links that other nodes open to [vm]; of two nodes that with the lower name opens. */
    fun linksTo(vm: String): FaultRelay = links.getValue(vm)

    /** The relays from [vm] to the configuration service and the list of VMs. */
    fun platformOf(vm: String): List<FaultRelay> = platformRelays.getValue(vm)

    /** Does [fault] to every link between [vm] and the others; the sources are those that open them. */
    fun onLinksOf(vm: String, fault: FaultRelay.(from: String?) -> Unit) {
        linksTo(vm).fault(null)
        names().filter { it > vm }.forEach { linksTo(it).fault(vm) }
    }

    /** Ends the faults of all links. */
    fun healLinks() = links.values.forEach(FaultRelay::heal)

    /** Commits [manifest] to the configuration service. */
    fun commit(manifest: Manifest) = commitText(manifest.revision.value, ManifestText.write(manifest))

    /** Commits [text] to the configuration service as [revision]. */
    fun commitText(revision: Long, text: String) {
        val reply = Http.post(standins.config.admin, "/admin/commit/manifest?revision=$revision", text)
        check(reply.status in SUCCESS) { "commit answered $reply" }
    }

    /** Publishes the list of VMs. */
    fun publishList(vms: Map<String, VmState>) {
        states = vms
        val list = vms.map { (vm, state) -> Vm(VmId(vm), zone(vm), LOOPBACK, linksTo(vm).port, state = state) }
        val body = Json.encodeToString(ListSerializer(Vm.serializer()), list)
        val reply = Http.post(standins.vms.admin, "/admin/vms", body)
        check(reply.status in SUCCESS) { "list answered $reply" }
    }

    /** Starts [vm], also anew after its process ended, with a history of its own. */
    fun startNode(vm: String): NodeProcess {
        val history = directory.resolve("$vm-${histories.size}.history").also(histories::add)
        val settings = options.tune(settings(vm, history))
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
        val (callers, operators, peers) = daemon.awaitReady().map { it.toInt() }
        val target = InetSocketAddress(LOOPBACK, peers)
        links.getOrPut(vm) { FaultRelay(target, ::sourceOf) }.target = target
        return NodeProcess(vm, daemon, callers, operators, peers).also { nodes[vm] = it }
    }

    /** Waits until [vms] take callers' requests. */
    fun awaitReady(vms: Collection<String>) = vms.forEach { vm ->
        await("$vm to be ready", { "${node(vm).reasons()} ${node(vm).daemon.stderrFile}" }) { node(vm).isReady() }
    }

    /** Waits until [condition] holds. */
    fun await(what: String, state: () -> String = { "" }, condition: () -> Boolean) {
        val until = System.nanoTime() + AWAIT_NANOS
        while (!condition()) {
            check(System.nanoTime() < until) { "waited too long for $what: ${state()}" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    /** What `GET /v1/manifest` says. */
    fun inForce(node: NodeProcess): String = Http.get(node.operators, "/v1/manifest").body

    /** Everything that was recorded so far. */
    fun history(): History = HistoryFiles.join(histories + standins.histories, recorder.events())

    override fun close() {
        nodes.values.filter { it.daemon.isAlive }.forEach(::keepStatus)
        (links.values + platformRelays.values.flatten()).forEach(FaultRelay::close)
        runner.close()
    }

    /** Keeps what the node says of itself at the end, for people who look into a failed run. */
    private fun keepStatus(node: NodeProcess) {
        for (path in listOf("/v1/status", "/metrics")) {
            val text = runCatching { Http.get(node.operators, path).body }.getOrElse { it.toString() }
            Files.writeString(directory.resolve("${node.vm}${path.replace('/', '-')}"), text)
        }
    }

    private fun settings(vm: String, history: Path): NodeSettings {
        val (configuration, list) =
            platformRelays.getOrPut(vm) {
                listOf(standins.config, standins.vms).map { FaultRelay(InetSocketAddress(LOOPBACK, it.port)) }
            }
        return NodeSettings(
            vm = VmSettings(VmId(vm), zone(vm), LOOPBACK),
            callers = CallerSettings(LOOPBACK, port = 0),
            operators = OperatorSettings(port = 0),
            peers = PeerSettings(port = 0),
            platform =
            PlatformSettings(PlatformAddress(LOOPBACK, configuration.port), PlatformAddress(LOOPBACK, list.port)),
            history = HistorySettings(history.toString()),
        )
    }

    private fun zone(vm: String) = ZoneId("z${vm.substringAfter('-')}")

    /** A link begins with a hello that names the VM that opened it. */
    private fun sourceOf(opening: ByteArray): String? = VM_NAME.find(opening.toString(Charsets.ISO_8859_1))?.value

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val AWAIT_NANOS = 60_000_000_000L
        const val POLL_MILLIS = 100L
        val SUCCESS = 200..299
        val OWNER = Regex(""""role":"owner","reachable":true""")
        val VM_NAME = Regex("""vm-\d+""")
    }
}
