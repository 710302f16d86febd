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

internal const val MILLI = 1_000_000L
internal const val LEASE = 1_000 * MILLI
internal const val SKEW_MILLIS = 200L

internal fun vm(name: String, weight: Double = 1.0): Vm = Vm(VmId(name), ZoneId("z"), "127.0.0.1", 7000, weight)

internal fun vmList(revision: Long, vararg names: String): VmList = VmList(ListRevision(revision), names.map { vm(it) })

/** One life of a process. Its clock has its own origin and a rate up to half a percent off. */
internal class Node(val vm: VmId, val life: Long, private val rate: Long, private val fleet: Fleet) {
    val membership = Membership(vm, LEASE, LEASE / 10, now())
    val guard = EvictGuard(vm, membership, Incarnation(life))
    val reservations = Reservations(vm, membership, SKEW_MILLIS, retentionMillis = 20_000)
    val wallSkew = fleet.random.nextLong(-SKEW_MILLIS / 2, SKEW_MILLIS / 2)
    var pausedUntil = 0L

    fun now(): Long = life * 1_000_000_007L + fleet.time * rate / 1000

    fun wallMillis(): Long = fleet.wallMillis() + wallSkew

    fun take(mail: Mail): List<Envelope> = when (mail.message) {
        is Heartbeat, is HeartbeatAck, is ListOffer ->
            membership.receive(mail.from, mail.message, ManifestRevision(0), now())

        else -> guard.receive(mail.from, mail.message, now())
    }
}

internal data class Mail(val from: VmId, val to: VmId, val message: SafetyMessage)

/**
 * Nodes over a bag of messages that loses, repeats and reorders, with pauses, cuts, restarts without memory and a
 * lagging platform. Virtual time; all chance comes from [random].
 */
internal class Fleet(val random: Random, private val names: List<String>) {
    private val lists = ArrayList<VmList>()
    private val bag = ArrayList<Mail>()
    private val cutUntil = HashMap<Pair<VmId, VmId>, Long>()
    private var lives = 0L
    val nodes = LinkedHashMap<VmId, Node>()
    var time = 0L
        private set

    init {
        lists += vmList(1, *names.take(3).toTypedArray())
        lists.last().vms.forEach { restart(it.id) }
    }

    fun wallMillis(): Long = 1_700_000_000_000L + time / MILLI

    fun chance(perMille: Int): Boolean = random.nextInt(1000) < perMille

    fun awake(): List<Node> = nodes.values.filter { it.pausedUntil <= time }.shuffled(random)

    fun send(from: Node, envelopes: List<Envelope>) {
        envelopes.forEach { bag += Mail(from.vm, it.to, it.message) }
    }

    /** Lets up to a twenty-fifth of a lease pass, then delivers and disturbs. Returns nodes that died. */
    fun round(): List<Node> {
        time += random.nextLong(1, LEASE / 25)
        awake().forEach { node ->
            send(node, node.membership.tick(node.now()))
            if (chance(100)) send(node, node.membership.adopt(platformList(), node.now()))
        }
        deliver()
        if (chance(3)) publish()
        if (chance(3)) pause()
        if (chance(3)) cut()
        return if (chance(2)) listOf(crash()) else emptyList()
    }

    private fun deliver() {
        repeat(2) {
            val due = bag.shuffled(random)
            bag.clear()
            due.forEach { mail ->
                val node = nodes[mail.to]
                val cut = (cutUntil[mail.from to mail.to] ?: 0) > time
                when {
                    node == null || cut || chance(30) -> Unit
                    node.pausedUntil > time || chance(100) -> bag += mail
                    else -> {
                        if (chance(30)) bag += mail
                        send(node, node.take(mail))
                    }
                }
            }
        }
    }

    private fun platformList(): VmList = if (chance(800)) lists.last() else usable().random(random)

    /** Lists of which a majority always meets the newest: what docs/DESIGN.md assumes of a lagging platform. */
    private fun usable(): List<VmList> = lists.filter { meets(it, lists.last()) }

    private fun meets(old: VmList, new: VmList): Boolean = old.vms.count { new[it.id] == null } < old.vms.size / 2 + 1

    private fun publish() {
        val last = lists.last()
        val now = last.vms.map { it.id.value }
        val absent = names - now.toSet()
        val grown = if (absent.isNotEmpty() && chance(500)) now + absent.random(random) else now
        val shrunk = if (now.size > 2 && chance(500)) grown - now.random(random) else grown
        val weighted = shrunk.map { vm(it, weight = if (chance(300)) 3.0 else 1.0) }
        val new = VmList(ListRevision(last.revision.value + 1), weighted)
        val held = nodes.values.map { it.membership.list } + lists.filter { meets(it, last) && chance(500) }
        if (!held.all { meets(it, new) }) return
        lists += new
        new.vms.filter { it.id !in nodes }.forEach { restart(it.id) }
    }

    private fun pause() {
        nodes.values.random(random).pausedUntil = time + random.nextLong(LEASE / 10, 4 * LEASE)
    }

    private fun cut() {
        val (a, b) = listOf(nodes.keys.random(random), nodes.keys.random(random))
        val until = time + random.nextLong(LEASE / 10, 5 * LEASE)
        cutUntil[a to b] = until
        if (chance(500)) cutUntil[b to a] = until
    }

    private fun crash(): Node {
        val dead = nodes.values.random(random)
        if (lists.last()[dead.vm] == null) nodes.remove(dead.vm) else restart(dead.vm)
        return dead
    }

    private fun restart(id: VmId) {
        val node = Node(id, ++lives, random.nextLong(995, 1006), this)
        nodes[id] = node
        send(node, node.membership.adopt(platformList(), node.now()))
    }
}
