package io.apricotslip.serving.member

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.peer.FleetMessage.HubEntry
import io.apricotslip.rules.placement.RendezvousHashing

/**
 * Decides which nodes are hubs: [HUBS_PER_ZONE] of each availability zone, those of the highest weight.
 *
 * Each node reports to one hub of its zone, and only hubs report to each other. What a node sends and receives does
 * therefore not grow with the fleet, and the reports of a zone are sent to another zone once for each of its hubs.
 *
 * The directory may be wrong or incomplete without harm to safety: nodes that know no hub of their zone consider
 * themselves hubs until they hear of better ones.
 *
 * @param weight capacity of this node; higher is better.
 */
public class HubDirectory(private val self: VmId, private val zone: ZoneId, private val weight: Int) {
    private class Candidate(val vm: VmId, val zone: ZoneId, val weight: Int) {
        var established = false
        var lastHeardAt = NEVER
        var suspectedUntil = NEVER

        fun isFresh(now: Long) = now - lastHeardAt < CANDIDATE_TTL_MILLIS && now >= suspectedUntil
    }

    private val candidates = HashMap<VmId, Candidate>()
    private var hubSince: Long? = null

    /** Records that [vm] was heard directly at [now]. */
    public fun recordHeard(vm: VmId, zone: ZoneId, weight: Int, now: Long) {
        if (vm == self) return
        val candidate = candidate(vm, zone, weight)
        candidate.lastHeardAt = now
        candidate.suspectedUntil = NEVER
    }

    /** Records what another node knows about hubs. */
    public fun recordKnown(entries: Collection<HubEntry>, now: Long) {
        for (entry in entries) {
            if (entry.vm == self) continue
            val heardAt = now - entry.ageMillis
            val known = candidates[entry.vm]
            if (known != null && known.lastHeardAt > heardAt) continue
            val candidate = candidate(entry.vm, entry.zone, entry.weight)
            candidate.lastHeardAt = heardAt
            candidate.established = entry.established
        }
    }

    /**
     * Whether any node, this one or one that told it so, heard [vm] at [now] or shortly before, and [vm] has been a hub
     * for a while: a node that has restarted, or is no hub any more, holds no claims.
     */
    public fun isLiveHub(vm: VmId, now: Long): Boolean =
        candidates[vm]?.let { it.established && now - it.lastHeardAt < CANDIDATE_TTL_MILLIS } ?: false

    /** Records that [vm] does not answer this node; it is not used as a hub for a while, unless it is heard. */
    public fun suspect(vm: VmId, now: Long) {
        candidates[vm]?.suspectedUntil = now + SUSPICION_MILLIS
    }

    /** Updates the role of this node; returns whether it is a hub at [now]. */
    public fun updateRole(now: Long): Boolean {
        candidates.values.removeIf { now - it.lastHeardAt > FORGET_AFTER_MILLIS }
        val hub = self in hubs(zone, now)
        hubSince = if (hub) hubSince ?: now else null
        return hub
    }

    /** Time since which this node has been a hub, or null; it is reset by [onPaused]. */
    public fun hubSince(): Long? = hubSince

    /** Records that this process was paused: another node may have become a hub in its place. */
    public fun onPaused(now: Long) {
        if (hubSince != null) hubSince = now
    }

    /** The hubs of [zone], the best first. */
    public fun hubs(zone: ZoneId, now: Long): List<VmId> = ranked(zone, now).take(HUBS_PER_ZONE).map { it.vm }

    /** The hubs of all zones without this node. */
    public fun otherHubs(now: Long): Set<VmId> =
        zones().flatMapTo(LinkedHashSet()) { hubs(it, now) }.also { it.remove(self) }

    /**
     * The hub to which this node reports: one of its zone, or of another zone when its own has none. Nodes of a zone
     * spread over its hubs by rendezvous hashing.
     */
    public fun home(now: Long): VmId? = hubs(zone, now).filter { it != self }.ifEmpty { otherHubs(now) }
        .maxByOrNull { RendezvousHashing.unitHash(it.value, self.value) }

    /**
     * Hubs that keep a copy of what this node must not lose when it ends: one of its zone, and one of another zone for
     * the loss of a whole zone.
     */
    public fun keepers(now: Long): Set<VmId> {
        val others = otherHubs(now)
        val inZone = hubs(zone, now).toSet()
        val near = home(now).takeIf { it in inZone } ?: others.firstOrNull { it in inZone }
        val far = (others - inZone).ifEmpty { others - setOfNotNull(near) }
            .maxByOrNull { RendezvousHashing.unitHash(it.value, self.value) }
        return setOfNotNull(near, far)
    }

    /** Other hubs that were heard, directly or not, and are not forgotten yet. */
    public fun rememberedHubs(now: Long): Set<VmId> =
        zones().flatMapTo(HashSet()) { zone -> byRank(inZone(zone)).take(HUBS_PER_ZONE).map { it.vm } }
            .also { it.remove(self) }
            .filterTo(HashSet()) { now - candidates.getValue(it).lastHeardAt < FORGET_AFTER_MILLIS }

    /** The best nodes of each zone, for other nodes: the hubs and one more that could replace one of them. */
    public fun entries(now: Long): List<HubEntry> = zones().flatMap { zone ->
        ranked(zone, now).take(HUBS_PER_ZONE + 1).map {
            val age = if (it.vm == self) 0 else now - it.lastHeardAt
            HubEntry(it.vm, it.zone, it.weight, it.established, age)
        }
    }

    private fun candidate(vm: VmId, zone: ZoneId, weight: Int): Candidate {
        val known = candidates[vm]
        if (known != null && known.zone == zone && known.weight == weight) return known
        return Candidate(vm, zone, weight).also { candidates[vm] = it }
    }

    private fun zones(): Set<ZoneId> = candidates.values.mapTo(linkedSetOf(zone)) { it.zone }

    private fun inZone(zone: ZoneId): List<Candidate> = candidates.values.filter { it.zone == zone }

    private fun ranked(zone: ZoneId, now: Long): List<Candidate> {
        val fresh = inZone(zone).filter { it.isFresh(now) }
        return byRank(if (zone == this.zone) fresh + ownCandidate(now) else fresh)
    }

    private fun ownCandidate(now: Long) = Candidate(self, zone, weight).also {
        it.lastHeardAt = now
        it.established = hubSince?.let { since -> now - since >= ESTABLISHED_AFTER_MILLIS } ?: false
    }

    private fun byRank(candidates: List<Candidate>) = candidates.sortedWith(
        compareByDescending<Candidate> { it.established }
            .thenByDescending { it.weight }
            .thenByDescending { RendezvousHashing.unitHash(it.zone.value, it.vm.value) },
    )

    public companion object {
        /** Two, so that the nodes of a zone have another hub at once when one is lost. */
        public const val HUBS_PER_ZONE: Int = 2
        private const val NEVER = Long.MIN_VALUE / 2

        /** Entries are passed on twice a second, over up to three nodes. */
        private const val CANDIDATE_TTL_MILLIS = 2_000L

        /** Longer than [CANDIDATE_TTL_MILLIS], so that entries in transit do not bring a lost hub back. */
        private const val SUSPICION_MILLIS = 4_000L

        /** A hub that has gathered its nodes and claims; displacing it would cost a hand-over of its claims. */
        private const val ESTABLISHED_AFTER_MILLIS = 2_000L

        /** Longer than a restart; a node that is away for longer is found again through the seeds. */
        private const val FORGET_AFTER_MILLIS = 15_000L
    }
}
