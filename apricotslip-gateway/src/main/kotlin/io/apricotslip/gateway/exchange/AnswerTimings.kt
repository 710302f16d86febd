package io.apricotslip.gateway.exchange

import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.RouteKind

/** Times of the first event and of the gaps of one answer; also teaches the estimates of the server. */
internal class AnswerTimings(
    private val context: ExchangeContext,
    private val route: Route,
    private val startedAt: Long,
) {
    private val isStream = route.kind == RouteKind.STREAM
    private var firstEventAt = -1L
    private var maxGapMillis = 0L

    fun recordFirstEvent(millisSinceSend: Long, pendingPromptTokensBefore: Long, server: Server) {
        if (firstEventAt < 0) firstEventAt = context.now()
        if (isStream) server.latencyEstimator.recordFirstEvent(pendingPromptTokensBefore, millisSinceSend)
        context.servers.pace.recordFirstEvent(server, route, millisSinceSend, pendingPromptTokensBefore)
        context.metrics.recordFirstByte(route.kind.name, context.now() - startedAt)
    }

    /** Records what a first event shows to all nodes; a failed response is no sign of speed. */
    fun recordForFleet(millisSinceSend: Long, pendingPromptTokensBefore: Long, server: Server) {
        val tokens = if (isStream) pendingPromptTokensBefore else 0
        server.timing.recordFirstEvent(tokens, millisSinceSend, context.now())
        server.timing.recordSuccess(context.now())
    }

    /** Records the time between two consecutive events of a stream. */
    fun recordGap(gapMillis: Long, server: Server) {
        val running = server.totalUtilization().running
        server.latencyEstimator.recordGap(gapMillis, running)
        server.timing.recordGap(gapMillis, running, context.now())
        val target = route.targetGapMillis
        if (target > 0 && gapMillis > target && maxGapMillis <= target) context.servers.pace.recordLatePause(server)
        maxGapMillis = maxOf(maxGapMillis, gapMillis)
    }

    override fun toString(): String {
        val firstMillis = if (firstEventAt < 0) firstEventAt else firstEventAt - startedAt
        val times = "ms=${context.now() - startedAt} first_ms=$firstMillis gap_ms=$maxGapMillis"
        val nodeEndsAt = context.endsAt()
        return if (nodeEndsAt == Long.MAX_VALUE) times else "$times node_ends_in_ms=${nodeEndsAt - context.now()}"
    }
}
