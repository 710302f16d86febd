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
 * VM lists, membership lease and tenure of one VM: rules 1 to 3 of docs/DESIGN.md. The lease is held while a majority
 * of the adopted list answers heartbeats. Tenure under a list begins once every other VM on it has answered and any
 * lease under an older list must have expired; only then do the roles of the list take effect.
 *
 * Not thread-safe. All times are nanoseconds of this VM's monotonic clock and are passed in.
 *
 * @param leaseNanos how long an answered heartbeat counts, from when it was sent; the same at all VMs.
 * @param heartbeatNanos interval between heartbeats to a peer.
 * @param startedAt when this incarnation of the process began.
 * @param firstSequence first heartbeat sequence number; must differ between incarnations of a VM.
 * @param maxSendDelayNanos maximum delay between checking the lease and sending the request or order that depends on
 * it, for example to open a connection; the same at all VMs.
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
    private val tenure =
        Tenure(self, leaseNanos + leaseNanos / CLOCK_RATE_MARGIN_DIVISOR + maxSendDelayNanos, startedAt)
    private val quietAfterStartNanos = 2 * leaseNanos + leaseNanos / QUIET_MARGIN_DIVISOR
    private val peerListRevisions = HashMap<VmId, ListRevision>()
    private val peerManifestRevisions = HashMap<VmId, ManifestRevision>()
    private val roles = HashMap<BackendServerId, Role>()
    private var rolesEpoch = tenure.epoch
    private var nextHeartbeatAt = startedAt
    private var leaseLastHeldAt = startedAt
    private var highestRevision = ListRevision(0)

    /** The newest list that this VM has adopted. */
    public var list: VmList = VmList.Empty
        private set

    /** Revision of the manifest in force at this VM, sent to peers with each heartbeat. */
    public var manifestRevision: ManifestRevision = ManifestRevision(0)

    /** The list whose roles are in effect at this VM, or null if none. As of the last call with a time. */
    public val tenured: VmList? get() = tenure.current

    /** When the current unbroken tenure began, or null if there is none. As of the last call with a time. */
    public val tenureStartedAt: Long? get() = tenure.unbroken.firstNotNullOfOrNull { it.tenuredAt }

    /** Increases whenever the tenured list changes or tenure breaks. */
    internal val tenureEpoch: Long get() = tenure.epoch

    /** The other VMs of the adopted list. */
    internal val others: List<VmId> get() = list.vms.map { it.id }.filter { it != self }

    /** Adopts [list] if its revision is higher than that of the adopted one, and sends heartbeats immediately. */
    public fun adopt(list: VmList, now: Long): List<Envelope> {
        if (list.revision <= this.list.revision) return emptyList()
        update(now)
        this.list = list
        recordRevision(list.revision)
        answers.clear()
        tenure.listAdopted(list, now)
        update(now)
        return sendHeartbeats(now)
    }

    /** Returns the heartbeats that are due at [now]. */
    public fun tick(now: Long): List<Envelope> {
        update(now)
        return if (now >= nextHeartbeatAt) sendHeartbeats(now) else emptyList()
    }

    /**
     * Handles a [Heartbeat], [HeartbeatAck] or [ListOffer] from the VM [from] and returns the answers.
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
            is Heartbeat -> onHeartbeat(from, message, now)
            is HeartbeatAck -> onHeartbeatAck(from, message, now)
            is ListOffer -> adopt(message.list, now)
            else -> emptyList()
        }
    }

    /**
     * Records that the links to [vm] are down and discards the revisions it reported. Its heartbeat answers still count
     * until they expire.
     */
    public fun peerDisconnected(vm: VmId) {
        peerListRevisions.remove(vm)
        peerManifestRevisions.remove(vm)
    }

    /** List revision that [vm] last reported, or null if none. */
    public fun peerListRevision(vm: VmId): ListRevision? = peerListRevisions[vm]

    /** Manifest revision that [vm] last reported (0 if it has none in force), or null if it reported nothing. */
    public fun peerManifestRevision(vm: VmId): ManifestRevision? = peerManifestRevisions[vm]

    /** Whether this VM may start requests, give orders and run reservations at [now]: rule 2. */
    public fun leaseHeld(now: Long): Boolean {
        update(now)
        return now < leaseEndsAt()
    }

    /** The role of this VM for [server] under the tenured list, whether or not it holds the lease. */
    public fun roleFor(server: BackendServerId, now: Long): Role {
        update(now)
        val vms = tenured?.live() ?: return Role.None
        if (rolesEpoch != tenure.epoch) roles.clear()
        rolesEpoch = tenure.epoch
        return roles.getOrPut(server) { role(OwnershipRanking.rank(server, vms)) }
    }

    /** The owner of [server] under the tenured list, or null if there is none. */
    internal fun owner(server: BackendServerId): VmId? =
        tenured?.let { OwnershipRanking.rank(server, it.vms).firstOrNull() }

    /** Whether the roles in effect are those of the adopted list and no newer list is known. */
    internal fun rolesUpToDate(now: Long): Boolean {
        update(now)
        return tenured?.revision == list.revision && highestRevision == list.revision
    }

    /** Whether this VM is the owner or the standby of [server] under the tenured list. */
    internal fun inRanking(server: BackendServerId, now: Long): Boolean = roleFor(server, now) != Role.None

    /**
     * Since when this VM has been the home of [key] without interruption, or null if it is not the home. It is the home
     * only while both its tenured list and each list adopted since say so.
     */
    internal fun homeSince(key: String, now: Long): Long? {
        update(now)
        return tenure.unbroken
            .takeLastWhile { OwnershipRanking.home(key, it.list.vms) == self }
            .firstNotNullOfOrNull { it.tenuredAt }
    }

    private fun role(ranking: List<VmId>): Role = when (ranking.indexOf(self)) {
        0 -> Role.Owner
        1 -> Role.Standby
        else -> Role.None
    }

    private fun onHeartbeat(from: VmId, message: Heartbeat, now: Long): List<Envelope> {
        recordPeer(from, message.listRevision, message.manifestRevision, now)
        val answer =
            HeartbeatAck(message.sequence, list.revision, manifestRevision)
                .takeIf { list[from] != null && now - startedAt >= quietAfterStartNanos }
        return listOfNotNull(answer?.let { Envelope(from, it) }) + offerList(from, message.listRevision)
    }

    private fun onHeartbeatAck(from: VmId, message: HeartbeatAck, now: Long): List<Envelope> {
        recordPeer(from, message.listRevision, message.manifestRevision, now)
        answers.recordAnswer(from, message.sequence, message.listRevision)
        update(now)
        return offerList(from, message.listRevision)
    }

    private fun recordPeer(from: VmId, listRevision: ListRevision, manifest: ManifestRevision, now: Long) {
        update(now)
        peerListRevisions[from] = listRevision
        peerManifestRevisions[from] = manifest
        recordRevision(listRevision)
    }

    private fun recordRevision(revision: ListRevision) {
        highestRevision = maxOf(highestRevision, revision)
    }

    private fun offerList(to: VmId, revision: ListRevision): List<Envelope> =
        if (revision < list.revision) listOf(Envelope(to, ListOffer(list))) else emptyList()

    private fun sendHeartbeats(now: Long): List<Envelope> {
        nextHeartbeatAt = now + heartbeatNanos
        val message = Heartbeat(answers.recordRound(now), list.revision, manifestRevision)
        return others.map { Envelope(it, message) }
    }

    /** Updates lease and tenure to [now]. Tenure breaks if the lease was lost for longer than the lease time. */
    private fun update(now: Long) {
        leaseLastHeldAt = maxOf(leaseLastHeldAt, minOf(now, leaseEndsAt()))
        if (now - leaseLastHeldAt > leaseNanos) tenure.reset(now)
        tenure.update(highestRevision, answers, now)
    }

    /** When the lease expires unless further heartbeats are answered. */
    private fun leaseEndsAt(): Long {
        if (list[self] == null || highestRevision > list.revision) return Long.MIN_VALUE
        val answersNeeded = list.vms.size / 2
        if (answersNeeded == 0) return Long.MAX_VALUE
        val matching = others.mapNotNull { answers[it] }.filter { it.revision == list.revision }
        if (matching.size < answersNeeded) return Long.MIN_VALUE
        return matching.map { it.sentAt }.sortedDescending()[answersNeeded - 1] + leaseNanos
    }

    private companion object {
        /** Tenure waits 1/50 longer than the lease, to tolerate clock rates that differ by up to 1%. */
        const val CLOCK_RATE_MARGIN_DIVISOR = 50

        /** A restarted VM answers no heartbeats for two lease times and 1/16 of a lease. */
        const val QUIET_MARGIN_DIVISOR = 16
    }
}
