package io.apricotslip.e2e

import io.apricotslip.api.history.EventKind
import io.apricotslip.e2e.caller.CallerClient
import io.apricotslip.e2e.caller.CompletionRequest
import io.apricotslip.e2e.caller.IdempotencyKeys
import io.apricotslip.e2e.cluster.Cluster
import io.apricotslip.e2e.cluster.ClusterOptions
import io.apricotslip.e2e.cluster.RunDirectory
import io.apricotslip.testutils.invariant.InForceInTime
import io.apricotslip.testutils.invariant.Invariants
import io.apricotslip.testutils.invariant.NoNewWorkAfterLeaving
import io.apricotslip.testutils.invariant.PlannedStopCutsNothing
import io.apricotslip.testutils.process.ProcessSignal
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import reactor.core.publisher.Flux
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.time.Duration
import java.util.Random

/** Tests the whole request path on real nodes and stand-ins, which run as processes in one cluster for all tests. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class WholePathTest {
    private lateinit var cluster: Cluster
    private val caller by lazy { CallerClient(cluster.recorder) }
    private val keys = IdempotencyKeys(Random(SEED))

    @BeforeAll
    fun start() {
        cluster = Cluster(ClusterOptions(), RunDirectory.of("whole-path"))
        cluster.start()
    }

    @AfterAll
    fun stop() = cluster.close()

    /** Creates [count] requests that alternate between adapters and versions. */
    private fun completions(prefix: String, count: Int, maxTokens: Int = 20): List<CompletionRequest> =
        (0 until count).map {
            val version = if (it % 4 < 2) "v1" else "v2"
            CompletionRequest("$prefix-$it", cluster.options.adapters[it % 2], version, maxTokens = maxTokens)
        }

    /** Sends [requests] concurrently, distributed over [vms] in rotation. */
    private fun send(requests: List<CompletionRequest>, vms: List<String> = cluster.names()): Flux<Void> =
        Flux.merge(requests.mapIndexed { i, request -> caller.stream(request, cluster.node(vms[i % vms.size])) })

    private fun expectAnswered(requests: List<CompletionRequest>) {
        val history = cluster.history()
        expectThat(Invariants.violations(history)).isEmpty()
        val unanswered = requests.map { it.requestId } - history.answered()
        expectThat(unanswered.map { request -> history.requests.getValue(request).last() }).isEmpty()
    }

    @Test
    @Order(1)
    fun `concurrent streams are each answered completely by the requested adapter and version`() {
        val requests = completions("crossed", 48)
        send(requests).blockLast()
        expectAnswered(requests)
    }

    @Test
    @Order(2)
    fun `a reservation repeated through every node is executed once`() {
        val key = keys.next()
        val attempts = cluster.names().mapIndexed { i, vm -> caller.reserve("repeat-$i", key, cluster.node(vm)) }
        Flux.concat(attempts).blockLast()
        val history = cluster.history()
        expectThat(Invariants.violations(history)).isEmpty()
        expectThat(history.servers.filter { it.key == key }.map { it.key }).containsExactlyInAnyOrder(key)
        expectThat(history.answered()).contains("repeat-0")
    }

    @Test
    @Order(3)
    fun `a manifest change comes into force without affecting running requests`() {
        val requests = completions("changed", 24, maxTokens = 100)
        val running = send(requests).collectList().toFuture()
        cluster.await("the requests to be running") {
            cluster.recorder.events().any {
                it.request == "changed-0" &&
                    it.offset == 5
            }
        }
        cluster.commit(cluster.manifests.of(revision = 2, default = "v2"))
        cluster.await("revision 2 on all nodes") {
            cluster.nodes.values.all { "\"revision\":2," in cluster.manifestInForce(it) }
        }
        running.get()
        expectAnswered(requests)
    }

    @Test
    @Order(4)
    fun `a leaving backend server receives no new work after three seconds and the others answer`() {
        val since = System.nanoTime()
        cluster.commit(cluster.manifests.of(revision = 3, default = "v2", leaving = setOf("e1")))
        val requests = ArrayList<CompletionRequest>()
        while (System.nanoTime() - since < 2 * LEAVING_LIMIT.toNanos()) {
            val batch = completions("leaving-${requests.size}", 4)
            send(batch).blockLast()
            requests += batch
        }
        val history = cluster.history()
        expectThat(NoNewWorkAfterLeaving("e1", since, LEAVING_LIMIT).violations(history)).isEmpty()
        expectThat(InForceInTime(3, since, cluster.names().toSet(), IN_FORCE_LIMIT).violations(history)).isEmpty()
        expectThat(history.servers.any { it.process == "e1" && it.kind == EventKind.RUN }).isTrue()
        expectAnswered(requests)
        cluster.commit(cluster.manifests.of(revision = 4, default = "v2"))
        cluster.await("revision 4 on all nodes") {
            cluster.nodes.values.all { "\"revision\":4," in cluster.manifestInForce(it) }
        }
    }

    @Test
    @Order(5)
    fun `SIGTERM during streaming aborts no request`() {
        val requests = completions("stopped", 8, maxTokens = 200)
        val running = send(requests).collectList().toFuture()
        cluster.await("the requests to be running") {
            requests.all { request ->
                cluster.recorder.events().any { it.request == request.requestId && it.offset == 5 }
            }
        }
        val since = System.nanoTime()
        cluster.node("vm-2").daemon.signal(ProcessSignal.TERM)
        running.get()
        expectThat(cluster.node("vm-2").daemon.awaitExit(EXIT_TIMEOUT_MILLIS)).isEqualTo(0)
        expectThat(PlannedStopCutsNothing("vm-2", since).violations(cluster.history())).isEmpty()
        expectAnswered(requests)
    }

    private companion object {
        const val SEED = 3L
        const val EXIT_TIMEOUT_MILLIS = 60_000L
        val LEAVING_LIMIT: Duration = Duration.ofSeconds(3)
        val IN_FORCE_LIMIT: Duration = Duration.ofSeconds(5)
    }
}
