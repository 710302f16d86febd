package io.apricotslip.serving.fleet

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.StreamOrigin
import io.apricotslip.serving.limit.RequestLimit
import io.apricotslip.serving.limit.RoomShare
import io.apricotslip.serving.limit.TrafficShare
import io.apricotslip.serving.pace.ServerPace
import io.apricotslip.serving.published.Statement
import io.apricotslip.serving.published.StorePosition
import io.apricotslip.serving.stream.StreamContinuation
import io.apricotslip.serving.timing.FleetTiming
import io.apricotslip.serving.timing.ServerTiming

/**
 * What this node knows about one incarnation of one backend server.
 *
 * @property announcements what the answers of this incarnation have said about it.
 */
public class Server(
    entry: ServerEntry,
    position: StorePosition,
    now: Long,
    public val announcements: ServerAnnouncements = ServerAnnouncements(),
) {
    /** The entry that the server published last. */
    public var entry: ServerEntry = entry
        private set(value) {
            field = value
            streamOrigin = StreamContinuation.originOf(value)
        }

    /** The origin of streams whose first event the server writes. */
    public var streamOrigin: StreamOrigin = StreamContinuation.originOf(entry)
        private set

    /** Where the store holds [entry]. */
    public var position: StorePosition = position
        private set

    /** Time at which [entry] was read. */
    public var entryReadAt: Long = now
        private set

    private var entryLeavingSince: Long? = now.takeIf { entry.leaving }

    /** Time since which it is known that the server leaves, or null. */
    public val leavingSince: Long?
        get() = announcements.leavingSince ?: entryLeavingSince

    public val id: BackendServerId
        get() = entry.id

    /** [entry] as a statement that others can be compared with. */
    internal val statement: Statement
        get() = Statement(position, entry.count)
    public val health: ServerHealth = ServerHealth()
    public val latencyEstimator: EngineLatencyEstimator = EngineLatencyEstimator()

    /** The limit of this incarnation while it has just started or recovered. */
    public val pace: ServerPace = ServerPace { this.entry.requestSlots }

    /** What this node measured of the server within the last seconds. */
    public val timing: ServerTiming = ServerTiming()

    /** What all nodes measured of the server within the last seconds; null where that is not known. */
    public var fleetTiming: FleetTiming? = null
        private set

    /** Applies what all nodes measured; null returns to what this node measured alone. */
    internal fun applyFleetTiming(timing: FleetTiming?) {
        fleetTiming = timing
        latencyEstimator.applyFleetSpeed(timing?.speed)
    }

    /** Whether the server fails so often that others are preferred; what all nodes saw counts more than the own. */
    public val degraded: Boolean
        get() = fleetTiming?.failing ?: health.degraded

    /** Whether this node may send one more request at [now] as far as a server that just started can bear it. */
    public fun withinPace(share: TrafficShare, now: Long): Boolean =
        !pace.growing || pace.available(localUtilization, totalUtilization(), share, now)

    /** The limit that this incarnation names for the requests of all nodes. */
    public val requestLimit: RequestLimit
        get() = announcements.requestLimit

    /** This node's share of the places of the server while it is brittle. */
    public val roomShare: RoomShare
        get() = announcements.roomShare

    /** Whether this node may send one more request at [now] as far as a brittle server has room. */
    public fun hasRoom(share: TrafficShare, now: Long): Boolean =
        roomShare.available(entry.requestSlots, localUtilization.running, share, now)

    /** Resident adapters with their versions, from the server's entry or its order holder, whichever is newer. */
    public var adapters: Map<ServedAdapter, Long> = entry.adapters
        private set

    /** Adapters that are being loaded to the server. */
    public var loading: Set<ServedAdapter> = emptySet()
        private set

    /** Work of this node at the server. */
    public var localUtilization: ServerUtilization = ServerUtilization()

    /** Time at which [adapters] or [loading] changed last. */
    public var slotsChangedAt: Long = now
        private set

    private val peerUses = PeerUses()
    private var fleetDemand = AdapterDemand()
    private var localDemand: AdapterDemand? = null
    private var holderReportedAt = Long.MIN_VALUE / 2
    private val recentAdapters = LinkedHashSet(entry.adapters.keys)
    private val localUseCounts = HashMap<ServedAdapter, Int>()

    /** Adapters that requests of this node use at the server, or wait for. */
    public val localAdaptersInUse: Set<ServedAdapter>
        get() = localUseCounts.keys

    /**
     * Whether the server may be sent a request at [now]; [current] tells whether the store still lists this
     * incarnation.
     */
    internal fun admission(now: Long, current: Boolean = true): Admission =
        Admission.of(current, entryLeaving = entryLeavingSince != null, announcements, now)

    /** Applies a newer entry of the same incarnation, which the store holds at [newPosition]. */
    public fun update(newer: ServerEntry, newPosition: StorePosition, now: Long) {
        entry = newer
        position = newPosition
        entryReadAt = now
        if (newer.leaving && entryLeavingSince == null) entryLeavingSince = now
        if (!newer.leaving) entryLeavingSince = null
        if (now - holderReportedAt > HOLDER_REPORT_TTL_MILLIS) setAdapters(newer.adapters, emptySet())
    }

    /** Applies a report on the adapter slots by the node that holds the orders for this server. */
    public fun applyHolderReport(resident: Map<ServedAdapter, Long>, loading: Set<ServedAdapter>, now: Long) {
        holderReportedAt = now
        if (resident == adapters && loading == this.loading) return
        slotsChangedAt = now
        setAdapters(resident, loading)
    }

    /** Records that the holder of the orders stated its claim without a change of the adapter slots. */
    public fun recordHolderHeard(now: Long) {
        holderReportedAt = now
    }

    /** Drops [adapter] from the resident ones: the server answered that it does not hold it. */
    public fun markAdapterMissing(adapter: ServedAdapter) {
        adapters = adapters - adapter
        localDemand = null
    }

    /** Records that an ordered load of [adapter] completed. */
    public fun recordLoaded(adapter: ServedAdapter, version: Long) {
        setAdapters(adapters + (adapter to version), loading - adapter)
    }

    /** Whether the server held [adapter] recently; the engine then loads it from host memory, which is fast. */
    public fun recentlyHeld(adapter: ServedAdapter): Boolean = adapter in recentAdapters

    /**
     * Records the work of [source] at the server; its requests use [adapters] or wait for them. A node that does not
     * know which adapters these are gives the [demand] of all nodes instead.
     */
    public fun recordPeerUse(
        source: VmId,
        utilization: ServerUtilization,
        adapters: Set<ServedAdapter> = emptySet(),
        demand: AdapterDemand = AdapterDemand(),
    ) {
        peerUses.update(source, utilization, adapters)
        fleetDemand = demand
        localDemand = null
    }

    /** Removes the work of [source]. */
    public fun removePeerUse(source: VmId) {
        peerUses.remove(source)
        fleetDemand = AdapterDemand()
        localDemand = null
    }

    /** Counts a request of this node that uses [adapter] or waits for it, until [releaseAdapter]. */
    public fun retainAdapter(adapter: ServedAdapter) {
        localUseCounts.merge(adapter, 1, Int::plus)
        localDemand = null
    }

    /** Records that a request of this node does not use [adapter] any more. */
    public fun releaseAdapter(adapter: ServedAdapter) {
        localUseCounts.computeIfPresent(adapter) { _, count -> (count - 1).takeIf { it > 0 } }
        localDemand = null
    }

    /** Whether a request of any node uses [adapter] or waits for it, as far as known. */
    public fun inUse(adapter: ServedAdapter): Boolean = adapter in localUseCounts || adapter in peerUses.adapters

    /** Adapters that requests of all nodes use or wait for, as far as known. */
    public fun adaptersInUse(): Set<ServedAdapter> = localUseCounts.keys + peerUses.adapters

    /** Demand of all nodes for adapters, as far as known. */
    public fun adapterDemand(): AdapterDemand {
        val known = localDemand ?: countDemand().also { localDemand = it }
        return AdapterDemand(maxOf(known.inUse, fleetDemand.inUse), maxOf(known.pending, fleetDemand.pending))
    }

    /** Number of adapter loads from the weight store that are in flight. */
    public fun storeLoadsInFlight(): Int = loading.count { !recentlyHeld(it) }

    /** Work of all nodes at the server, as far as known. */
    public fun totalUtilization(): ServerUtilization = localUtilization + peerUses.total

    private fun countDemand(): AdapterDemand {
        val inUse = adaptersInUse()
        return AdapterDemand(inUse.size, inUse.count { it !in adapters })
    }

    private fun setAdapters(resident: Map<ServedAdapter, Long>, loading: Set<ServedAdapter>) {
        adapters = resident
        this.loading = loading
        localDemand = null
        for (adapter in resident.keys) {
            recentAdapters.remove(adapter)
            recentAdapters.add(adapter)
        }
        while (recentAdapters.size > MAX_RECENT_ADAPTERS) recentAdapters.remove(recentAdapters.first())
    }

    private companion object {
        /** Several report intervals of a holder; after that the published entry is the better source. */
        const val HOLDER_REPORT_TTL_MILLIS = 2_500L

        /** Adapters that an engine caches in host memory, per the deployment profiles. */
        const val MAX_RECENT_ADAPTERS = 120
    }
}
