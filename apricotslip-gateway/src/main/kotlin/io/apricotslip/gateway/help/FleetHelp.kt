package io.apricotslip.gateway.help

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.peer.FleetMessage.Helper
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.server.Connector
import io.apricotslip.serving.reach.HelperDirectory
import io.apricotslip.serving.reach.ServerReach
import java.security.SecureRandom
import java.util.Base64

/**
 * The help of nodes for each other while one of them reaches no backend server: it passes its requests on, and the
 * other one serves them as its own.
 *
 * @param callerPort port for callers, the same on all nodes.
 * @param canHelp whether this node takes requests of others.
 */
internal class FleetHelp(
    self: VmId,
    zone: ZoneId,
    val callerPort: Int,
    val connector: Connector,
    private val log: DecisionLog,
    private val now: () -> Long,
    private val canHelp: () -> Boolean,
) {
    private val token = newToken()
    private val own = Helper(self, zone, token)

    /** What this node believes of its links to backend servers. */
    val reach = ServerReach()

    /** The nodes that could help. */
    val helpers = HelperDirectory(self, zone)

    /** Requests of this node that others serve. */
    val open: MutableSet<PassedOnRequest> = LinkedHashSet()

    /** Whether new requests are passed on. */
    val isWanted: Boolean
        get() = reach.isCutOff && helpers.isAvailable(now())

    /** This node as a helper; null when it cannot help. */
    fun ownHelper(): Helper? = own.takeIf { reach.canHelp && canHelp() }

    /** Records in [request] whether another node has passed it on; the headers by which it tells are removed. */
    fun recordOrigin(request: CallerRequest) {
        request.passedOnToken = PassedOnHeaders.removeToken(request.headers)?.takeIf { it == token }
        request.checkedWorkspaceDigest = PassedOnHeaders.removeCheckedWorkspace(request.headers)
    }

    /** Updates the state at each tick; returns the number of servers that are to be probed. */
    fun tick(): Int {
        val before = reach.state
        val probes = reach.tick(now(), helpers.isAvailable(now()))
        if (reach.state != before) log.write { "event=server_reach state=${reach.state} before=$before" }
        open.toList().forEach(PassedOnRequest::failIfHelperSilent)
        return probes
    }

    private fun newToken(): String {
        val bytes = ByteArray(TOKEN_BYTES).also(SecureRandom()::nextBytes)
        return Base64.getUrlEncoder().encodeToString(bytes)
    }

    private companion object {
        /** Too long to be guessed, and short in the reports of nodes. */
        const val TOKEN_BYTES = 12
    }
}
