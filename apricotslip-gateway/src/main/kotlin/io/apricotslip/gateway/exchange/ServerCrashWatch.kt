package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.RequestTrait
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.observe.GatewayMetrics
import io.apricotslip.serving.crash.RequestQuarantine
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.reach.ServerReach

/**
 * Tells crashes of backend servers from lost connections, and reports the requests that had no answer to [quarantine].
 *
 * When a server closes a connection before the answer, it is asked for another connection: only a process that is gone
 * refuses it. Servers that announced their end are left out. While this node may have lost its links to all servers,
 * what looks like a crash is not reported until it has heard from one of them; it asks them at once.
 *
 * @param probe calls its last argument with whether the address refuses connections.
 * @param confirmReach asks other servers, and calls its argument when one of them answers.
 */
internal class ServerCrashWatch(
    private val fleet: Fleet,
    private val quarantine: RequestQuarantine,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val now: () -> Long,
    private val reach: ServerReach,
    private val probe: (host: String, port: Int, done: (refused: Boolean) -> Unit) -> Unit,
    private val confirmReach: (onAnswer: () -> Unit) -> Unit,
) {
    private enum class State { PROBING, DOUBTFUL, CRASHED }

    private class Suspicion(var state: State, val since: Long, val traits: LinkedHashMap<RequestTrait, Int>)

    private val suspicions = HashMap<Server, Suspicion>()

    /**
     * Handles that [server] closed the connection of a request with [traits], which was sent at [sentAt], before its
     * answer.
     */
    fun onClosedBeforeAnswer(server: Server, traits: RequestTraits, sentAt: Long) {
        if (fleet[server.id] !== server || server.leavingSince != null) return
        val suspicion = suspicions[server]
        // Sent after the crash, to a process that was gone already.
        if (suspicion != null && sentAt > suspicion.since) return
        val positions = traits.positions()
        if (suspicion == null) return startProbe(server, positions)
        suspicion.traits += positions
        if (suspicion.state == State.CRASHED) recordCrash(server, positions)
    }

    /** Forgets servers that are gone; returns whether a trait was put into quarantine since the last call. */
    fun tick(now: Long): Boolean {
        suspicions.keys.removeIf { fleet[it.id] !== it }
        decideDoubtful(now)
        val changes = quarantine.tick(now)
        changes.lifted.forEach { log.write { "event=quarantine_lifted ${named(it)}" } }
        for (added in changes.added) {
            log.write {
                "event=quarantined ${named(added.trait)} count=${added.count} " +
                    "evidence_age_ms=${added.evidenceAgeMillis}"
            }
        }
        return changes.added.isNotEmpty()
    }

    private fun decideDoubtful(now: Long) {
        val doubtful = suspicions.filterValues { it.state == State.DOUBTFUL }
        for ((server, suspicion) in doubtful) {
            when {
                reach.isCutOff -> suspicions.remove(server)
                !reach.failuresDoubtful || now - suspicion.since > MAX_DOUBT_MILLIS -> onCrashed(server, suspicion)
            }
        }
    }

    private fun onCrashed(server: Server, suspicion: Suspicion) {
        suspicion.state = State.CRASHED
        metrics.recordServerCrash()
        recordCrash(server, suspicion.traits)
    }

    private fun named(trait: RequestTrait) = if (trait.isWholeRequest) "digest=$trait" else "part=$trait"

    private fun startProbe(server: Server, traits: Map<RequestTrait, Int>) {
        val suspicion = Suspicion(State.PROBING, now(), LinkedHashMap(traits))
        suspicions[server] = suspicion
        probe(server.entry.host, server.entry.port) { refused ->
            if (!refused) {
                suspicions.remove(server)
                return@probe
            }
            if (!reach.failuresDoubtful) return@probe onCrashed(server, suspicion)
            suspicion.state = State.DOUBTFUL
            confirmReach { decideDoubtful(now()) }
        }
    }

    private fun recordCrash(server: Server, traits: Map<RequestTrait, Int>) {
        val (digests, parts) = traits.keys.partition(RequestTrait::isWholeRequest)
        log.write { "event=server_crashed server=${server.id} unanswered_parts=$parts unanswered_digests=$digests" }
        quarantine.recordCrash(server.id, server.entry.startedAtMillis, server.entry.service, traits, now())
    }

    private companion object {
        /** Longer than it takes to tell a cut of this node's links from crashes of servers. */
        const val MAX_DOUBT_MILLIS = 1_000L
    }
}
