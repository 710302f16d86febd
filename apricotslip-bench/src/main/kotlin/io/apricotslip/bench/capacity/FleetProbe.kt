package io.apricotslip.bench.capacity

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.peer.SafetyMessage
import io.apricotslip.api.peer.SafetyMessage.Heartbeat
import io.apricotslip.api.peer.SafetyMessage.HeartbeatAck
import io.apricotslip.safety.EvictGuard
import io.apricotslip.safety.Membership
import io.apricotslip.safety.OwnershipRanking
import io.apricotslip.wire.Message

/** Costs of the core protocol by the number of VMs on the list. */
internal object FleetProbe {
    private val sizes = listOf(7, 24, 50, 200, 1_000, 2_100)
    private const val LEASE_NANOS = 3_000_000_000L
    private const val HEARTBEAT_NANOS = 500_000_000L
    private const val OWNED_ENGINES = 5
    private const val RANKED = 20
    private const val COPIED_VMS = 4_000
    private val revision = ManifestRevision(1)

    /** One VM that hears [list]'s other VMs in rounds. */
    private class Listener(private val list: VmList) {
        private val self = Samples.vm(0)
        private val membership = Membership(self, LEASE_NANOS, HEARTBEAT_NANOS, startedAt = 0)
        private val guard = EvictGuard(self, membership, Incarnation(1))
        private val peers = list.vms.map { it.id } - self
        private var now = LEASE_NANOS * 4
        private var sequence = 0L

        init {
            membership.adopt(list, now)
        }

        /** Sends one round of heartbeats. */
        fun tick() {
            now += HEARTBEAT_NANOS
            val heartbeat = membership.tick(now).first().message as Heartbeat
            sequence = heartbeat.sequence
        }

        /** Hears one heartbeat of each peer. */
        fun heartbeats(): Unit = peers.forEach {
            membership.receive(it, Heartbeat(sequence, list.revision, revision), revision, now)
        }

        /** Hears one acknowledgement of each peer. */
        fun acks(): Unit = peers.forEach {
            membership.receive(it, HeartbeatAck(sequence, list.revision, revision), revision, now)
        }

        /** Hears the passes of each peer for the engines that this VM owns. */
        fun passes(): Unit = peers.forEach { peer ->
            repeat(OWNED_ENGINES) {
                guard.receive(peer, SafetyMessage.Pass(Samples.server(it), list.revision, Incarnation(1)), now)
            }
        }
    }

    fun run(): List<Series> = listOf(
        Series.of("membership and guard heap, 5 owned engines", "VM", "B", sizes) { heap(it) },
        Series.of("one heartbeat received, CPU", "VM", "us", sizes) { n -> cpu(n) { heartbeats() } },
        Series.of("one acknowledgement received, CPU", "VM", "us", sizes) { n -> cpu(n) { acks() } },
        Series.of("ranking of one engine, CPU", "VM", "us", sizes) { ranking(it) },
        Series.of("ListOffer, bytes", "VM", "B", sizes) { FrameSize.of(offer(it)).toDouble() },
    )

    private fun heap(vms: Int): Double = HeapMeter.bytes(copies = 1 + COPIED_VMS / vms) { settled(vms) }

    private fun settled(vms: Int): Listener = Listener(Samples.list(vms)).apply {
        tick()
        heartbeats()
        acks()
        passes()
    }

    private fun cpu(vms: Int, hear: Listener.() -> Unit): Double {
        val listener = settled(vms)
        return CpuMeter.micros(vms - 1) { listener.hear() }
    }

    private fun offer(vms: Int): Message = Message.Safety(SafetyMessage.ListOffer(Samples.list(vms)))

    private fun ranking(vms: Int): Double {
        val list = Samples.list(vms)
        return CpuMeter.micros(RANKED) { repeat(RANKED) { OwnershipRanking.rank(Samples.server(it), list.vms) } }
    }

    /** Messages of the core protocol as they are sent. */
    fun messages(): List<NamedMessage> = listOf(
        NamedMessage("Heartbeat", Message.Safety(Heartbeat(LEASE_NANOS, Samples.list(1).revision, revision))),
        NamedMessage("HeartbeatAck", Message.Safety(HeartbeatAck(LEASE_NANOS, Samples.list(1).revision, revision))),
        NamedMessage(
            "Pass",
            Message.Safety(
                SafetyMessage.Pass(Samples.server(0), Samples.list(1).revision, Incarnation(LEASE_NANOS)),
            ),
        ),
    )
}
