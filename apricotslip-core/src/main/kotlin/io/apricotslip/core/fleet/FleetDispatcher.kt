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

/**
 * Passes safety messages to the membership and eviction state machines, and distributes VM lists and manifests.
 * Confined to the node loop.
 */
internal class FleetDispatcher(
    private val loop: NodeLoop,
    private val links: Links,
    private val membership: Membership,
    private val guard: EvictGuard,
    private val manifests: ManifestTracker,
    private val onListChanged: (VmList) -> Unit,
) {
    private val lastOfferAt = HashMap<VmId, Long>()

    /** Adopts [list] if it is newer than the current one; [source] is logged. */
    fun adopt(list: VmList, source: String) {
        val before = membership.list.revision
        links.send(membership.adopt(list, loop.now()))
        notifyIfListChanged(before, source)
    }

    /** Sends the heartbeats that are due. Called periodically. */
    fun tick() {
        membership.manifestRevision = manifests.revision
        links.send(membership.tick(loop.now()))
    }

    /** Handles a safety message from [from]. */
    fun receive(from: VmId, message: SafetyMessage) {
        val now = loop.now()
        val before = membership.list.revision
        when (message) {
            is SafetyMessage.Heartbeat -> {
                links.send(membership.receive(from, message, manifests.revision, now))
                offerIfOutdated(from, message.manifestRevision, now)
            }

            is SafetyMessage.HeartbeatAck -> {
                links.send(membership.receive(from, message, manifests.revision, now))
                offerIfOutdated(from, message.manifestRevision, now)
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
        notifyIfListChanged(before, from.value)
    }

    /** Sends the active manifest to all peers. */
    fun pushManifest() {
        manifestOffer()?.let(links::broadcast)
    }

    private fun manifestOffer(): Message? =
        manifests.active?.let { Message.Safety(SafetyMessage.ManifestOffer(it.manifest.revision, it.text)) }

    private fun offerIfOutdated(peer: VmId, revision: ManifestRevision, now: Long) {
        if (revision >= manifests.revision) return
        val last = lastOfferAt[peer]
        if (last != null && now - last < MIN_OFFER_INTERVAL_NANOS) return
        lastOfferAt[peer] = now
        manifestOffer()?.let { links.send(peer, it) }
    }

    private fun notifyIfListChanged(before: ListRevision, source: String) {
        val list = membership.list
        if (list.revision == before) return
        Logger.info("event=list_adopted revision={} vms={} source={}", list.revision, list.vms.size, source)
        onListChanged(list)
    }

    private companion object {
        const val MIN_OFFER_INTERVAL_NANOS = 1_000_000_000L
    }
}
