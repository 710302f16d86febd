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

/** Costs of the core protocol by the number of VMs on the VM list. */
internal object FleetProbe {
    private val vmCounts = listOf(7, 24, 50, 200, 1_000, 2_100)
    private const val LEASE_NANOS = 3_000_000_000L
    private const val HEARTBEAT_NANOS = 500_000_000L
    private const val OWNED_ENGINE_COUNT = 5
    private const val RANKED_ENGINE_COUNT = 20
    private const val HEAP_SAMPLE_VM_COUNT = 4_000
    private val revision = ManifestRevision(1)

    /** Membership and evict guard of one VM that exchanges rounds of messages with the other VMs of [list]. */
    private class MemberVm(private val list: VmList) {
        private val self = Samples.vm(0)
        private val membership = Membership(self, LEASE_NANOS, HEARTBEAT_NANOS, startedAt = 0)
        private val guard = EvictGuard(self, membership, Incarnation(1))
        private val peers = list.vms.map { it.id } - self
        private var now = LEASE_NANOS * 4
        private var sequence = 0L

        init {
            membership.adopt(list, now)
        }

        /** Sends one round of heartbeats and keeps its sequence number. */
        fun sendHeartbeats() {
            now += HEARTBEAT_NANOS
            val heartbeat = membership.tick(now).first().message as Heartbeat
            sequence = heartbeat.sequence
        }

        /** Receives one heartbeat from each peer. */
        fun receiveHeartbeats(): Unit = peers.forEach {
            membership.receive(it, Heartbeat(sequence, list.revision, revision), revision, now)
        }

        /** Receives one acknowledgement from each peer. */
        fun receiveAcks(): Unit = peers.forEach {
            membership.receive(it, HeartbeatAck(sequence, list.revision, revision), revision, now)
        }

        /** Receives a [SafetyMessage.Pass] from each peer for each engine that this VM owns. */
        fun receivePasses(): Unit = peers.forEach { peer ->
            repeat(OWNED_ENGINE_COUNT) {
                guard.receive(peer, SafetyMessage.Pass(Samples.server(it), list.revision, Incarnation(1)), now)
            }
        }
    }

    fun run(): List<Series> = listOf(
        Series.of("membership and guard heap, 5 owned engines", "VM", "B", vmCounts) { heapBytes(it) },
        Series.of("one heartbeat received, CPU", "VM", "us", vmCounts) { n ->
            receiveCpuMicros(n) { receiveHeartbeats() }
        },
        Series.of("one acknowledgement received, CPU", "VM", "us", vmCounts) { n ->
            receiveCpuMicros(n) { receiveAcks() }
        },
        Series.of("ranking of one engine, CPU", "VM", "us", vmCounts) { rankingCpuMicros(it) },
        Series.of("ListOffer, bytes", "VM", "B", vmCounts) { FrameCodec.frameBytes(listOffer(it)).toDouble() },
    )

    private fun heapBytes(vms: Int): Double =
        HeapMeter.bytes(copies = 1 + HEAP_SAMPLE_VM_COUNT / vms) { establishedMember(vms) }

    /** A member that has received one round of every message. */
    private fun establishedMember(vms: Int): MemberVm = MemberVm(Samples.vmList(vms)).apply {
        sendHeartbeats()
        receiveHeartbeats()
        receiveAcks()
        receivePasses()
    }

    private fun receiveCpuMicros(vms: Int, receive: MemberVm.() -> Unit): Double {
        val member = establishedMember(vms)
        return CpuMeter.micros(vms - 1) { member.receive() }
    }

    private fun listOffer(vms: Int): Message = Message.Safety(SafetyMessage.ListOffer(Samples.vmList(vms)))

    private fun rankingCpuMicros(vms: Int): Double {
        val list = Samples.vmList(vms)
        return CpuMeter.micros(RANKED_ENGINE_COUNT) {
            repeat(RANKED_ENGINE_COUNT) { OwnershipRanking.rank(Samples.server(it), list.vms) }
        }
    }

    /** The periodic messages of the core protocol. */
    fun messages(): List<NamedMessage> = listOf(
        NamedMessage("Heartbeat", Message.Safety(Heartbeat(LEASE_NANOS, Samples.vmList(1).revision, revision))),
        NamedMessage("HeartbeatAck", Message.Safety(HeartbeatAck(LEASE_NANOS, Samples.vmList(1).revision, revision))),
        NamedMessage(
            "Pass",
            Message.Safety(
                SafetyMessage.Pass(Samples.server(0), Samples.vmList(1).revision, Incarnation(LEASE_NANOS)),
            ),
        ),
    )
}
