package io.apricotslip.safety

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.peer.SafetyMessage
import io.apricotslip.api.peer.SafetyMessage.Heartbeat
import io.apricotslip.api.peer.SafetyMessage.HeartbeatAck
import io.apricotslip.api.peer.SafetyMessage.ListOffer
import kotlin.random.Random

internal const val NANOS_PER_MILLI = 1_000_000L
internal const val LEASE_NANOS = 1_000 * NANOS_PER_MILLI
internal const val CLOCK_SKEW_MILLIS = 200L

internal fun vm(name: String, weight: Double = 1.0): Vm = Vm(VmId(name), ZoneId("z"), "127.0.0.1", 7000, weight)

internal fun vmList(revision: Long, vararg names: String): VmList = VmList(ListRevision(revision), names.map { vm(it) })

/** One incarnation of a simulated VM process. Its clock has its own origin and a rate that is off by up to 0.5%. */
internal class Node(
    val vm: VmId,
    val incarnation: Long,
    private val clockRatePerMille: Long,
    private val fleet: Fleet,
) {
    val membership = Membership(vm, LEASE_NANOS, LEASE_NANOS / 10, now())
    val guard = EvictGuard(vm, membership, Incarnation(incarnation))
    val reservations = Reservations(vm, membership, CLOCK_SKEW_MILLIS, retentionMillis = 20_000)
    val wallSkewMillis = fleet.random.nextLong(-CLOCK_SKEW_MILLIS / 2, CLOCK_SKEW_MILLIS / 2)
    var pausedUntil = 0L

    fun now(): Long = incarnation * 1_000_000_007L + fleet.time * clockRatePerMille / 1000

    fun wallMillis(): Long = fleet.wallMillis() + wallSkewMillis

    fun receive(delivery: Delivery): List<Envelope> = when (delivery.message) {
        is Heartbeat, is HeartbeatAck, is ListOffer ->
            membership.receive(delivery.from, delivery.message, ManifestRevision(0), now())

        else -> guard.receive(delivery.from, delivery.message, now())
    }
}

/** A message on its way through the simulated network. */
internal data class Delivery(val from: VmId, val to: VmId, val message: SafetyMessage)

/**
 * A simulated fleet whose network loses, duplicates and reorders messages, with pauses, network partitions, restarts
 * without state and a lagging platform. Time is virtual and all randomness comes from [random].
 */
internal class Fleet(val random: Random, private val names: List<String>) {
    private val lists = ArrayList<VmList>()
    private val inFlight = ArrayList<Delivery>()
    private val partitionedUntil = HashMap<Pair<VmId, VmId>, Long>()
    private var lastIncarnation = 0L
    val nodes = LinkedHashMap<VmId, Node>()
    var time = 0L
        private set

    init {
        lists += vmList(1, *names.take(3).toTypedArray())
        lists.last().vms.forEach { restart(it.id) }
    }

    fun wallMillis(): Long = 1_700_000_000_000L + time / NANOS_PER_MILLI

    /** True with a probability of [perMille] in 1000. */
    fun chance(perMille: Int): Boolean = random.nextInt(1000) < perMille

    fun runningNodes(): List<Node> = nodes.values.filter { it.pausedUntil <= time }.shuffled(random)

    fun send(from: Node, envelopes: List<Envelope>) {
        envelopes.forEach { inFlight += Delivery(from.vm, it.to, it.message) }
    }

    /** Advances time by up to 1/25 of a lease, delivers messages and injects faults. Returns the nodes that crashed. */
    fun step(): List<Node> {
        time += random.nextLong(1, LEASE_NANOS / 25)
        runningNodes().forEach { node ->
            send(node, node.membership.tick(node.now()))
            if (chance(100)) send(node, node.membership.adopt(fetchListFromPlatform(), node.now()))
        }
        deliver()
        if (chance(3)) publish()
        if (chance(3)) pause()
        if (chance(3)) partition()
        return if (chance(2)) listOf(crash()) else emptyList()
    }

    private fun deliver() {
        repeat(2) {
            val due = inFlight.shuffled(random)
            inFlight.clear()
            due.forEach { delivery ->
                val node = nodes[delivery.to]
                val partitioned = (partitionedUntil[delivery.from to delivery.to] ?: 0) > time
                when {
                    node == null || partitioned || chance(30) -> Unit
                    node.pausedUntil > time || chance(100) -> inFlight += delivery
                    else -> {
                        if (chance(30)) inFlight += delivery
                        send(node, node.receive(delivery))
                    }
                }
            }
        }
    }

    private fun fetchListFromPlatform(): VmList = if (chance(800)) lists.last() else recentEnoughLists().random(random)

    /**
     * Lists of which every majority contains a VM of the newest list. docs/DESIGN.md assumes that a lagging platform
     * returns no others.
     */
    private fun recentEnoughLists(): List<VmList> = lists.filter { everyMajorityOverlaps(it, lists.last()) }

    private fun everyMajorityOverlaps(old: VmList, new: VmList): Boolean =
        old.vms.count { new[it.id] == null } < old.vms.size / 2 + 1

    private fun publish() {
        val last = lists.last()
        val current = last.vms.map { it.id.value }
        val absent = names - current.toSet()
        val withJoiner = if (absent.isNotEmpty() && chance(500)) current + absent.random(random) else current
        val members = if (current.size > 2 && chance(500)) withJoiner - current.random(random) else withJoiner
        val weighted = members.map { vm(it, weight = if (chance(300)) 3.0 else 1.0) }
        val new = VmList(ListRevision(last.revision.value + 1), weighted)
        val listsInUse = nodes.values.map { it.membership.list } +
            lists.filter { everyMajorityOverlaps(it, last) && chance(500) }
        if (!listsInUse.all { everyMajorityOverlaps(it, new) }) return
        lists += new
        new.vms.filter { it.id !in nodes }.forEach { restart(it.id) }
    }

    private fun pause() {
        nodes.values.random(random).pausedUntil = time + random.nextLong(LEASE_NANOS / 10, 4 * LEASE_NANOS)
    }

    private fun partition() {
        val (a, b) = listOf(nodes.keys.random(random), nodes.keys.random(random))
        val until = time + random.nextLong(LEASE_NANOS / 10, 5 * LEASE_NANOS)
        partitionedUntil[a to b] = until
        if (chance(500)) partitionedUntil[b to a] = until
    }

    private fun crash(): Node {
        val crashed = nodes.values.random(random)
        if (lists.last()[crashed.vm] == null) nodes.remove(crashed.vm) else restart(crashed.vm)
        return crashed
    }

    private fun restart(id: VmId) {
        val node = Node(id, ++lastIncarnation, random.nextLong(995, 1006), this)
        nodes[id] = node
        send(node, node.membership.adopt(fetchListFromPlatform(), node.now()))
    }
}
