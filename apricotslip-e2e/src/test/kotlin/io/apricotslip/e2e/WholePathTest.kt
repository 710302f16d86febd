package io.apricotslip.e2e

import io.apricotslip.api.history.EventKind
import io.apricotslip.e2e.caller.Ask
import io.apricotslip.e2e.caller.CallerClient
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

/** Real daemons and stand-ins as processes: the whole path, on one cluster for all tests. */
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

    /** Adapters and versions take turns, and so do the nodes. */
    private fun asks(prefix: String, count: Int, tokens: Int = 20): List<Ask> = (0 until count).map {
        Ask("$prefix-$it", cluster.options.adapters[it % 2], if (it % 4 < 2) "v1" else "v2", tokens = tokens)
    }

    private fun send(asks: List<Ask>, vms: List<String> = cluster.names()): Flux<Void> =
        Flux.merge(asks.mapIndexed { i, ask -> caller.stream(ask, cluster.node(vms[i % vms.size])) })

    private fun expectAnswered(asks: List<Ask>) {
        val history = cluster.history()
        expectThat(Invariants.violations(history)).isEmpty()
        val unanswered = asks.map { it.request } - history.answered()
        expectThat(unanswered.map { request -> history.requests.getValue(request).last() }).isEmpty()
    }

    @Test
    @Order(1)
    fun `crossed concurrent streams are each answered whole by their adapter and version`() {
        val asks = asks("crossed", 48)
        send(asks).blockLast()
        expectAnswered(asks)
    }

    @Test
    @Order(2)
    fun `a reservation runs once however often and wherever it is repeated`() {
        val key = keys.next()
        val repeats = cluster.names().mapIndexed { i, vm -> caller.reserve("repeat-$i", key, cluster.node(vm)) }
        Flux.concat(repeats).blockLast()
        val history = cluster.history()
        expectThat(Invariants.violations(history)).isEmpty()
        expectThat(history.servers.filter { it.key == key }.map { it.key }).containsExactlyInAnyOrder(key)
        expectThat(history.answered()).contains("repeat-0")
    }

    @Test
    @Order(3)
    fun `a manifest change while requests run takes force and disturbs none`() {
        val asks = asks("changed", 24, tokens = 100)
        val running = send(asks).collectList().toFuture()
        cluster.await("the requests to run") {
            cluster.recorder.events().any {
                it.request == "changed-0" &&
                    it.offset == 5
            }
        }
        cluster.commit(cluster.manifests.of(revision = 2, default = "v2"))
        cluster.await("revision 2 on all nodes") {
            cluster.nodes.values.all { "\"revision\":2," in cluster.inForce(it) }
        }
        running.get()
        expectAnswered(asks)
    }

    @Test
    @Order(4)
    fun `a leaving backend server gets no new work after three seconds and the others answer`() {
        val since = System.nanoTime()
        cluster.commit(cluster.manifests.of(revision = 3, default = "v2", leaving = setOf("e1")))
        val asks = ArrayList<Ask>()
        while (System.nanoTime() - since < 2 * LEAVING_LIMIT.toNanos()) {
            val wave = asks("leaving-${asks.size}", 4)
            send(wave).blockLast()
            asks += wave
        }
        val history = cluster.history()
        expectThat(NoNewWorkAfterLeaving("e1", since, LEAVING_LIMIT).violations(history)).isEmpty()
        expectThat(InForceInTime(3, since, cluster.names().toSet(), IN_FORCE_LIMIT).violations(history)).isEmpty()
        expectThat(history.servers.any { it.process == "e1" && it.kind == EventKind.RUN }).isTrue()
        expectAnswered(asks)
        cluster.commit(cluster.manifests.of(revision = 4, default = "v2"))
        cluster.await("revision 4 on all nodes") {
            cluster.nodes.values.all { "\"revision\":4," in cluster.inForce(it) }
        }
    }

    @Test
    @Order(5)
    fun `SIGTERM in mid-stream cuts no request off`() {
        val asks = asks("stopped", 8, tokens = 200)
        val running = send(asks).collectList().toFuture()
        cluster.await("the requests to run") {
            asks.all { ask -> cluster.recorder.events().any { it.request == ask.request && it.offset == 5 } }
        }
        val since = System.nanoTime()
        cluster.node("vm-2").daemon.signal(ProcessSignal.TERM)
        running.get()
        expectThat(cluster.node("vm-2").daemon.awaitExit(EXIT_MILLIS)).isEqualTo(0)
        expectThat(PlannedStopCutsNothing("vm-2", since).violations(cluster.history())).isEmpty()
        expectAnswered(asks)
    }

    private companion object {
        const val SEED = 3L
        const val EXIT_MILLIS = 60_000L
        val LEAVING_LIMIT: Duration = Duration.ofSeconds(3)
        val IN_FORCE_LIMIT: Duration = Duration.ofSeconds(5)
    }
}
