package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.testutils.history.History
import java.time.Duration

/**
 * A leaving backend server gets no new work. A run counts from its start on the engine, so runs that an engine queues
 * by itself have to be shorter than the limit.
 *
 * @param server the backend server.
 * @param since when the manifest that says so was committed, in nanoseconds.
 * @param limit time limit of the invariant.
 */
public class NoNewWorkAfterLeaving(private val server: String, private val since: Long, private val limit: Duration) :
    Invariant {
    override val name: String = "no-new-work-after-leaving"

    override fun violations(history: History): List<Violation> = history.servers
        .filter { it.process == server && (it.kind == EventKind.RUN || it.kind == EventKind.RESERVE) }
        .filter { it.at - since > limit.toNanos() }
        .map { run ->
            val late = Duration.ofNanos(run.at - since).toMillis()
            Violation(name, server, "began ${run.request ?: run.key} $late ms after it was leaving")
        }
}
