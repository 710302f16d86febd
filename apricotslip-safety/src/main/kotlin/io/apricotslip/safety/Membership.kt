package io.apricotslip.safety

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.SafetyMessage
import io.apricotslip.api.peer.SafetyMessage.Heartbeat
import io.apricotslip.api.peer.SafetyMessage.HeartbeatAck
import io.apricotslip.api.peer.SafetyMessage.ListOffer

/**
 * Lists, membership lease and tenure of one VM: rules 1 to 3 of docs/DESIGN.md. Not thread-safe. All times are
 * nanoseconds of the monotonic clock of this VM and are passed in.
 *
 * @param leaseNanos how long an answered heartbeat counts from its sending; the same at all VMs.
 * @param heartbeatNanos time between two heartbeats to a peer.
 * @param started when this life of the process began.
 * @param firstSequence first heartbeat number; must differ between two lives of a VM.
 * @param maxSendDelayNanos longest time from a check of the lease to the sending of what rests on it, as for opening a
 * connection; the same at all VMs.
 */
public class Membership(
    public val self: VmId,
    internal val leaseNanos: Long,
    private val heartbeatNanos: Long,
    private val startedAt: Long,
    firstSequence: Long = startedAt,
    maxSendDelayNanos: Long = 0,
) {
    private val answers = PeerAnswers(firstSequence)
    private val tenure = Tenure(self, leaseNanos + leaseNanos / CLOCK_RATE_MARGIN + maxSendDelayNanos, startedAt)
    private val quietNanos = 2 * leaseNanos + leaseNanos / QUIET_MARGIN
    private val peerRevisions = HashMap<VmId, ListRevision>()
    private val peerManifests = HashMap<VmId, ManifestRevision>()
    private val roles = HashMap<BackendServerId, Role>()
    private var rolesEpoch = tenure.epoch
    private var nextHeartbeatAt = startedAt
    private var lastHeldAt = startedAt
    private var heard = ListRevision(0)

    /** The newest list that this VM has adopted. */
    public var list: VmList = VmList.Empty
        private set

    /** Revision of the manifest in force here, told to peers with each heartbeat. */
    public var manifestRevision: ManifestRevision = ManifestRevision(0)

    /** The list whose roles this VM takes, or null while it has none. As of the last call with a time. */
    public val tenured: VmList? get() = tenure.current

    /** When the unbroken tenure began, or null while there is none. As of the last call with a time. */
    public val tenureStartedAt: Long? get() = tenure.unbroken.firstNotNullOfOrNull { it.since }

    /** Changes whenever the tenured list changes or tenure breaks. */
    internal val tenureEpoch: Long get() = tenure.epoch

    /** The other VMs of the adopted list. */
    internal val others: List<VmId> get() = list.vms.map { it.id }.filter { it != self }

    /** Adopts [list] when its revision is higher than that of the adopted one; sends heartbeats at once. */
    public fun adopt(list: VmList, now: Long): List<Envelope> {
        if (list.revision <= this.list.revision) return emptyList()
        observe(now)
        this.list = list
        hear(list.revision)
        answers.forget()
        tenure.adopted(list, now)
        observe(now)
        return heartbeats(now)
    }

    /** Heartbeats that are due at [now]. */
    public fun tick(now: Long): List<Envelope> {
        observe(now)
        return if (now >= nextHeartbeatAt) heartbeats(now) else emptyList()
    }

    /**
     * Takes a [Heartbeat], [HeartbeatAck] or [ListOffer] of the VM [from] and answers it.
     *
     * @param manifestRevision revision in force at this VM, or 0 before there is one.
     */
    public fun receive(
        from: VmId,
        message: SafetyMessage,
        manifestRevision: ManifestRevision,
        now: Long,
    ): List<Envelope> {
        this.manifestRevision = manifestRevision
        return when (message) {
            is Heartbeat -> heartbeat(from, message, now)
            is HeartbeatAck -> ack(from, message, now)
            is ListOffer -> adopt(message.list, now)
            else -> emptyList()
        }
    }

    /** The links to [vm] are down: what it told last no longer counts as known. Its lease answers run out by time. */
    public fun peerDisconnected(vm: VmId) {
        peerRevisions.remove(vm)
        peerManifests.remove(vm)
    }

    /** List revision that [vm] told last, or null when it told none. */
    public fun peerListRevision(vm: VmId): ListRevision? = peerRevisions[vm]

    /** Manifest revision that [vm] told last (0 for none in force), or null when it told nothing. */
    public fun peerManifestRevision(vm: VmId): ManifestRevision? = peerManifests[vm]

    /** Whether this VM may start requests, give orders and run reservations at [now]: rule 2. */
    public fun leaseHeld(now: Long): Boolean {
        observe(now)
        return now < leaseEnd()
    }

    /** The role of this VM for [server] under the tenured list, whether or not it holds the lease. */
    public fun roleFor(server: BackendServerId, now: Long): Role {
        observe(now)
        val vms = tenured?.live() ?: return Role.None
        if (rolesEpoch != tenure.epoch) roles.clear()
        rolesEpoch = tenure.epoch
        return roles.getOrPut(server) { role(OwnershipRanking.rank(server, vms)) }
    }

    /** The owner of [server] under the tenured list. */
    internal fun owner(server: BackendServerId): VmId? =
        tenured?.let { OwnershipRanking.rank(server, it.vms).firstOrNull() }

    /** Whether the roles of this VM are those of its adopted list and no newer one is known. */
    internal fun settled(now: Long): Boolean {
        observe(now)
        return tenured?.revision == list.revision && heard == list.revision
    }

    /** Whether the first two of the ranking of [server] under the tenured list hold this VM. */
    internal fun inRanking(server: BackendServerId, now: Long): Boolean = roleFor(server, now) != Role.None

    /**
     * Since when this VM has been the home of [key] without a break, or null when it is not. It is the home only while
     * it is that under its tenured list and under each list that it has adopted since.
     */
    internal fun homeSince(key: String, now: Long): Long? {
        observe(now)
        return tenure.unbroken
            .takeLastWhile { OwnershipRanking.home(key, it.list.vms) == self }
            .firstNotNullOfOrNull { it.since }
    }

    private fun role(ranking: List<VmId>): Role = when (ranking.indexOf(self)) {
        0 -> Role.Owner
        1 -> Role.Standby
        else -> Role.None
    }

    private fun heartbeat(from: VmId, message: Heartbeat, now: Long): List<Envelope> {
        learn(from, message.listRevision, message.manifestRevision, now)
        val answer =
            HeartbeatAck(message.sequence, list.revision, manifestRevision)
                .takeIf { list[from] != null && now - startedAt >= quietNanos }
        return listOfNotNull(answer?.let { Envelope(from, it) }) + offer(from, message.listRevision)
    }

    private fun ack(from: VmId, message: HeartbeatAck, now: Long): List<Envelope> {
        learn(from, message.listRevision, message.manifestRevision, now)
        answers.answered(from, message.sequence, message.listRevision)
        observe(now)
        return offer(from, message.listRevision)
    }

    private fun learn(from: VmId, listed: ListRevision, manifest: ManifestRevision, now: Long) {
        observe(now)
        peerRevisions[from] = listed
        peerManifests[from] = manifest
        hear(listed)
    }

    private fun hear(revision: ListRevision) {
        heard = maxOf(heard, revision)
    }

    private fun offer(to: VmId, revision: ListRevision): List<Envelope> =
        if (revision < list.revision) listOf(Envelope(to, ListOffer(list))) else emptyList()

    private fun heartbeats(now: Long): List<Envelope> {
        nextHeartbeatAt = now + heartbeatNanos
        val message = Heartbeat(answers.send(now), list.revision, manifestRevision)
        return others.map { Envelope(it, message) }
    }

    /** Brings lease and tenure up to [now]. A lease lost for longer than the lease time breaks tenure. */
    private fun observe(now: Long) {
        lastHeldAt = maxOf(lastHeldAt, minOf(now, leaseEnd()))
        if (now - lastHeldAt > leaseNanos) tenure.restart(now)
        tenure.observe(heard, answers, now)
    }

    /** When the lease ends unless further heartbeats are answered. */
    private fun leaseEnd(): Long {
        if (list[self] == null || heard > list.revision) return Long.MIN_VALUE
        val needed = list.vms.size / 2
        if (needed == 0) return Long.MAX_VALUE
        val matching = others.mapNotNull { answers[it] }.filter { it.revision == list.revision }
        if (matching.size < needed) return Long.MIN_VALUE
        return matching.map { it.sentAt }.sortedDescending()[needed - 1] + leaseNanos
    }

    private companion object {
        /** Tenure waits a fiftieth longer than the lease, for clocks whose rates differ by up to 1%. */
        const val CLOCK_RATE_MARGIN = 50

        /** A restarted VM stays quiet a sixteenth of a lease longer than two leases. */
        const val QUIET_MARGIN = 16
    }
}
