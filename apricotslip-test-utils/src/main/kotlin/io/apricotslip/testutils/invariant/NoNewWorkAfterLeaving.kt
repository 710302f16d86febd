package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.testutils.history.History
import java.time.Duration

/**
 * A backend server in state `leaving` receives no new work after a time limit. A request is dated by its start on the
 * engine, so on an engine with a queue of its own each request has to run for less than the limit.
 *
 * @param server id of the backend server.
 * @param since commit time of the manifest that marks the server as leaving, in nanoseconds.
 * @param limit maximum time from [since] within which new work may still start.
 */
public class NoNewWorkAfterLeaving(private val server: String, private val since: Long, private val limit: Duration) :
    Invariant {
    override val name: String = "no-new-work-after-leaving"

    override fun violations(history: History): List<Violation> = history.servers
        .filter { it.process == server && (it.kind == EventKind.RUN || it.kind == EventKind.RESERVE) }
        .filter { it.at - since > limit.toNanos() }
        .map { run ->
            val elapsedMillis = Duration.ofNanos(run.at - since).toMillis()
            val reason = "started ${run.request ?: run.key} $elapsedMillis ms after the server was set to leaving"
            Violation(name, server, reason)
        }
}
