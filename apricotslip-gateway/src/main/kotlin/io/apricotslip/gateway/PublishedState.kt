package io.apricotslip.gateway

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.serving.fleet.AdapterVersions
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.ServerEntry
import io.apricotslip.serving.state.DesiredState
import org.tinylog.kotlin.Logger

/**
 * Applies what the platform's store publishes to the state of this node.
 *
 * @param onLoaded called when the desired state and the servers are known.
 * @param onNewVersion called when a newer version of an adapter was declared.
 */
internal class PublishedState(
    private val fleet: Fleet,
    private val versions: AdapterVersions,
    private val pool: ServerConnectionPool,
    private val log: DecisionLog,
    private val now: () -> Long,
    private val onLoaded: () -> Unit,
    private val onNewVersion: (ServedAdapter, Long) -> Unit,
) : StoreListener {
    private var serversListed = false

    /** The newest desired state; null until it was read. */
    var desiredState: DesiredState? = null
        private set

    /** Whether the desired state and the servers were read. */
    val loaded: Boolean
        get() = desiredState != null && serversListed

    override fun onDesiredState(state: DesiredState, revision: Long) {
        val current = desiredState
        if (current != null && current.version >= state.version) return
        desiredState = state
        log.write {
            "event=desired_state version=${state.version} revision=$revision routes=${state.routes.size} " +
                "services=${state.services.size} before=${current?.version}"
        }
        if (loaded) onLoaded()
    }

    override fun onServer(entry: ServerEntry, revision: Long) {
        val change = fleet.applyEntry(entry, revision, now())
        if (change == Fleet.Change.UPDATED) return
        log.write {
            val known = fleet[entry.id]
            "event=server server=${entry.id} change=$change service=${entry.service} revision=$revision " +
                "known_revision=${known?.revision} born=${entry.startedAtMillis} sequence=${entry.sequence} " +
                "known_sequence=${known?.entry?.sequence} " +
                "address=${entry.host}:${entry.port} adapters=${entry.adapters.size} leaving=${entry.leaving}"
        }
    }

    override fun onServerRemoved(id: BackendServerId, revision: Long) {
        val removed = fleet.applyRemoval(id, now())
        log.write { "event=server_removed server=$id revision=$revision gone=$removed" }
        if (removed) pool.removeServer(id)
    }

    override fun onServersListed(ids: Set<BackendServerId>) {
        serversListed = true
        fleet.applyListing(ids, now()).forEach(pool::removeServer)
        if (loaded) onLoaded()
    }

    override fun onAdapterVersion(adapter: ServedAdapter, version: Long, revision: Long) {
        if (!versions.recordDeclared(adapter, version, now())) return
        log.write { "event=adapter_version adapter=$adapter version=$version revision=$revision" }
        onNewVersion(adapter, version)
    }

    override fun onStoreUnavailable(reason: String) {
        Logger.warn { "event=store_lost reason=\"$reason\"" }
        fleet.onStoreUnavailable()
    }

    override fun onStoreAvailable() {
        Logger.info { "event=store_regained" }
        fleet.onStoreAvailable(now())
    }
}
