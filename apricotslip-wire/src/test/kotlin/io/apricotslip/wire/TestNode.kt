package io.apricotslip.wire

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import org.reactivestreams.Subscription
import reactor.core.publisher.BaseSubscriber
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** A [KtorPeerNetwork] under test that queues its events; its subscriber first requests [initialDemand] of them. */
internal class TestNode(
    name: String,
    incarnation: Long = 1,
    options: LinkOptions = LinkOptions(),
    private val initialDemand: Long = Long.MAX_VALUE,
) : AutoCloseable {
    val id = VmId(name)
    val network = KtorPeerNetwork(id, Incarnation(incarnation), "127.0.0.1", 0, options, random = Random(1))
    val port = network.start()
    private val events = LinkedBlockingQueue<PeerEvent>()
    private val completed = CountDownLatch(1)
    private val subscriber = object : BaseSubscriber<PeerEvent>() {
        override fun hookOnSubscribe(subscription: Subscription) = subscription.request(initialDemand)

        override fun hookOnNext(value: PeerEvent) {
            events.add(value)
        }

        override fun hookOnComplete() = completed.countDown()
    }

    init {
        network.events().subscribe(subscriber)
    }

    fun vm(port: Int = this.port) = Vm(id, ZoneId("z"), "127.0.0.1", port)

    fun nextEvent(): PeerEvent =
        checkNotNull(events.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "no event at $id" }

    fun noEventsPending(): Boolean = events.isEmpty()

    fun request(n: Long) = subscriber.request(n)

    fun awaitCompletion() = check(completed.await(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        "events of $id did not complete"
    }

    override fun close() = network.close()

    companion object {
        /** Long enough that only a hang reaches it. */
        private const val EVENT_TIMEOUT_SECONDS = 30L

        fun vmList(vararg vms: Vm) = VmList(ListRevision(1), vms.toList())
    }
}
