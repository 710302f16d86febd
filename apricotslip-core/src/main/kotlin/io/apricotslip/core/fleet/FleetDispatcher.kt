package io.apricotslip.core.fleet

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.SafetyMessage
import io.apricotslip.core.link.Links
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.core.manifest.ManifestTracker
import io.apricotslip.safety.EvictGuard
import io.apricotslip.safety.Membership
import io.apricotslip.wire.Message
import org.tinylog.kotlin.Logger

/** Feeds the core protocol's messages to its state machines, and spreads lists and manifests. Used on the loop. */
internal class FleetDispatcher(
    private val loop: NodeLoop,
    private val links: Links,
    private val membership: Membership,
    private val guard: EvictGuard,
    private val manifests: ManifestTracker,
    private val listChanged: (VmList) -> Unit,
) {
    private val offeredAt = HashMap<VmId, Long>()

    /** Adopts [list] when it is newer. */
    fun adopt(list: VmList, source: String) {
        val before = membership.list.revision
        links.send(membership.adopt(list, loop.now()))
        noteList(before, source)
    }

    /** Regular work: heartbeats. */
    fun tick() {
        membership.manifestRevision = manifests.revision
        links.send(membership.tick(loop.now()))
    }

    /** Handles a message of the core protocol from [from]. */
    fun receive(from: VmId, message: SafetyMessage) {
        val now = loop.now()
        val before = membership.list.revision
        when (message) {
            is SafetyMessage.Heartbeat -> {
                links.send(membership.receive(from, message, manifests.revision, now))
                offerIfOlder(from, message.manifestRevision, now)
            }

            is SafetyMessage.HeartbeatAck -> {
                links.send(membership.receive(from, message, manifests.revision, now))
                offerIfOlder(from, message.manifestRevision, now)
            }

            is SafetyMessage.ListOffer -> links.send(membership.receive(from, message, manifests.revision, now))

            is SafetyMessage.ManifestOffer -> manifests.offer(message.text, message.revision.value, from.value)

            is SafetyMessage.Pass,
            is SafetyMessage.EvictAsk,
            is SafetyMessage.EvictAnswer,
            is SafetyMessage.EvictDone,
            -> {
                links.send(guard.receive(from, message, now))
            }
        }
        noteList(before, from.value)
    }

    /** Pushes the manifest in force to all peers. */
    fun pushManifest() {
        offer()?.let(links::broadcast)
    }

    private fun offer(): Message? =
        manifests.inForce?.let { Message.Safety(SafetyMessage.ManifestOffer(it.manifest.revision, it.text)) }

    private fun offerIfOlder(peer: VmId, revision: ManifestRevision, now: Long) {
        if (revision >= manifests.revision) return
        val last = offeredAt[peer]
        if (last != null && now - last < OFFER_PAUSE_NANOS) return
        offeredAt[peer] = now
        offer()?.let { links.send(peer, it) }
    }

    private fun noteList(before: ListRevision, source: String) {
        val list = membership.list
        if (list.revision == before) return
        Logger.info("event=list_adopted revision={} vms={} source={}", list.revision, list.vms.size, source)
        listChanged(list)
    }

    private companion object {
        const val OFFER_PAUSE_NANOS = 1_000_000_000L
    }
}
