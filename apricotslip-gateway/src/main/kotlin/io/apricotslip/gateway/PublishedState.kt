package io.apricotslip.gateway

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.peer.StoreProgress
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.peer.StreamExchange
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.serving.fleet.AdapterVersions
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.ServerEntry
import io.apricotslip.serving.published.AuthorCount
import io.apricotslip.serving.published.Recency
import io.apricotslip.serving.published.Statement
import io.apricotslip.serving.published.StoreHistory
import io.apricotslip.serving.published.StorePosition
import io.apricotslip.serving.state.DesiredState
import org.tinylog.kotlin.Logger

/**
 * Applies what the platform's store publishes to the state of this node.
 *
 * @param alone whether no other node is to be expected.
 * @param onState called when a newer desired state was read.
 * @param onLoaded called when the desired state and the servers are known.
 * @param onNewVersion called when a newer version of an adapter was declared.
 */
internal class PublishedState(
    private val fleet: Fleet,
    private val versions: AdapterVersions,
    private val pool: ServerConnectionPool,
    private val log: DecisionLog,
    private val now: () -> Long,
    private val streams: StreamExchange,
    private val alone: () -> Boolean,
    private val onState: (DesiredState) -> Unit,
    private val onLoaded: () -> Unit,
    private val onNewVersion: (ServedAdapter, Long) -> Unit,
) : StoreListener {
    private var serversListed = false
    private var readAt: Long? = null
    private var versionElsewhere = 0L
    private var versionElsewhereAt = 0L
    private var heardElsewhere = false
    private var loadedSince: Long? = null
    private var settled = false

    /** The reader of the store; null until it was started. */
    var follower: StoreFollower? = null
    private var desiredStatement: Statement? = null

    /** The newest desired state; null until it was read. */
    var desiredState: DesiredState? = null
        private set

    /**
     * Whether the desired state and the servers were read. A node that has just started waits for the desired state
     * that other nodes run, for as long as they state it: the store may have come back from a copy that holds an older
     * one, with keys that were revoked since. Links to them may come up after the store was read, so it waits a moment
     * for their first report too. A node that ran what the others ran for a moment goes on with what it knows.
     */
    val loaded: Boolean
        get() {
            if (settled) return true
            val state = desiredState ?: return false
            val since = readAt ?: return false
            if (!heardElsewhere && !alone() && now() - since <= FIRST_REPORT_MILLIS) return false
            return state.version >= versionElsewhere || now() - versionElsewhereAt > STATED_MILLIS
        }

    /** How far this node has read the store; null before it has a desired state. */
    fun progress(): StoreProgress? {
        val state = desiredState ?: return null
        val newest = follower?.newest ?: return null
        return StoreProgress(newest.era, newest.revision, state.version)
    }

    /** Tells when the wait for other nodes is over; must be called at each tick. */
    fun tick() {
        if (!loaded) {
            loadedSince = null
            return
        }
        val since = loadedSince ?: now().also { loadedSince = it }
        if (now() > START_MILLIS || (heardElsewhere && now() - since >= AGREED_MILLIS)) settled = true
        onLoaded()
    }

    /** Records how far other nodes have read the store. */
    fun onReadElsewhere(progress: StoreProgress) {
        heardElsewhere = true
        if (progress.stateVersion >= versionElsewhere) {
            versionElsewhere = progress.stateVersion
            versionElsewhereAt = now()
        }
        follower?.onReadElsewhere(StoreHistory.Place(progress.era, progress.revision))
    }

    override fun onDesiredState(state: DesiredState, position: StorePosition) {
        val current = desiredState
        val statement = Statement(position, AuthorCount.Version(state.version))
        val recency = desiredStatement?.let(statement::recency) ?: Recency.NEWER
        if (recency == Recency.OLDER) {
            log.write {
                "event=desired_state_stale version=${state.version} position=$position known=${current?.version}"
            }
        }
        if (recency != Recency.NEWER) return
        desiredState = state
        onState(state)
        streams.routes.record(state, now())
        desiredStatement = statement
        log.write {
            "event=desired_state version=${state.version} position=$position routes=${state.routes.size} " +
                "services=${state.services.size} workspaces=${state.workspaces?.all?.size} before=${current?.version}"
        }
        onRead()
    }

    override fun onServer(entry: ServerEntry, position: StorePosition) {
        val change = fleet.applyEntry(entry, position, now())
        if (change == Fleet.Change.NEW_LIFE) streams.tick()
        if (change == Fleet.Change.UPDATED) return
        log.write {
            val known = fleet[entry.id]
            "event=server server=${entry.id} change=$change service=${entry.service} position=$position " +
                "known_position=${known?.position} born=${entry.startedAtMillis} sequence=${entry.sequence} " +
                "known_sequence=${known?.entry?.sequence} " +
                "address=${entry.host}:${entry.port} adapters=${entry.adapters.size} leaving=${entry.leaving} " +
                "software=${entry.software}"
        }
    }

    override fun onServerRemoved(id: BackendServerId, position: StorePosition) {
        val removed = fleet.applyRemoval(id, position, now())
        log.write { "event=server_removed server=$id position=$position gone=$removed" }
        if (removed) pool.removeServer(id)
    }

    override fun onServersListed(ids: Set<BackendServerId>, position: StorePosition) {
        serversListed = true
        fleet.applyListing(ids, position, now()).forEach { id ->
            log.write { "event=server_removed server=$id position=$position gone=true listed=false" }
            pool.removeServer(id)
        }
        onRead()
    }

    override fun onAdapterVersion(adapter: ServedAdapter, version: Long, position: StorePosition) {
        if (!versions.recordDeclared(adapter, version, position, now())) return
        log.write { "event=adapter_version adapter=$adapter version=$version position=$position" }
        onNewVersion(adapter, version)
    }

    override fun onStoreRestored() = fleet.onStoreRestored(now())

    override fun onStoreUnavailable(reason: String) {
        Logger.warn { "event=store_lost reason=\"$reason\"" }
        streams.versions.onStoreAvailability(false)
        fleet.onStoreUnavailable()
    }

    override fun onStoreAvailable() {
        Logger.info { "event=store_regained" }
        streams.versions.onStoreAvailability(true)
        fleet.onStoreAvailable(now())
    }

    private fun onRead() {
        if (readAt == null && serversListed && desiredState != null) readAt = now()
        tick()
    }

    private companion object {
        /** Time after the start of the process in which a node may still learn that it read an older state. */
        const val START_MILLIS = 5_000L

        /** Several reports of all hubs: who hears only of this state for so long has not read a copy of the store. */
        const val AGREED_MILLIS = 1_500L

        /** Many intervals of reports and a change of the hub: the nodes that ran a newer state are gone by then. */
        const val STATED_MILLIS = 5_000L

        /** Several intervals of reports and a connect; less, with the listing, than requests wait at a start. */
        const val FIRST_REPORT_MILLIS = 800L
    }
}
