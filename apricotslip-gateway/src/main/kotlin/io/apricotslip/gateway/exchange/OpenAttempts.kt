package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.serving.fleet.Server
import java.util.concurrent.Future

/**
 * The attempts in progress for the request of [exchange], each with the capacity that it occupies.
 *
 * There is one, or none while a server is selected. Besides, the attempt at a silent server is kept as the fallback
 * while the request is tried elsewhere: a pause and an end look alike while they last, and perhaps no other server
 * serves the request.
 */
internal class OpenAttempts(
    private val exchange: Exchange,
    private val metadata: RequestMetadata,
    private val response: CallerResponse,
    private val forwarder: ResponseForwarder,
    private val counts: AttemptCounts,
    private val pace: PaceRecorder,
    private val now: () -> Long,
) {
    private class Kept(val attempt: Attempt, val reservation: Reservation?)

    private var fallback: Kept? = null

    /** The attempt in progress; null while the request is at no server, its fallback aside. */
    var current: Attempt? = null

    /** The capacity that the request occupies at the server that was selected last; null before. */
    var reservation: Reservation? = null
        private set

    /** The next selection of a server, if it waits for its time. */
    var nextSelection: Future<*>? = null

    /** Whether an attempt at a silent server is kept. */
    val hasFallback: Boolean
        get() = fallback != null

    /** Occupies capacity at [server] in place of the server that was selected before. */
    fun reserve(server: Server): Reservation {
        reservation?.release()
        return Reservation(server, metadata, pace, now).also { reservation = it }
    }

    /** Ends the bookkeeping of the current attempt, which has ended. */
    fun releaseCurrent() {
        current = null
        reservation?.release()
    }

    /** Handles that [ended] ended and its server may have executed the request; returns whether it was the fallback. */
    fun onOutcomeUnknown(ended: Attempt): Boolean {
        // The fallback was counted when it was kept.
        if (fallback?.attempt === ended) return true.also { abandonFallback() }
        counts.executions++
        releaseCurrent()
        return false
    }

    /** Keeps the current attempt as the fallback. */
    fun keepAsFallback() {
        val attempt = current ?: return
        check(fallback == null) { "a request has one fallback at most" }
        // A server that goes on must be noticed, whether or not the caller reads.
        attempt.setAutoRead(true)
        fallback = Kept(attempt, reservation)
        current = null
        reservation = null
        counts.executions++
    }

    /**
     * Ends what is in progress elsewhere, for [reason], and makes the fallback the current attempt again; returns
     * whether there is one.
     */
    fun fallBack(reason: String): Boolean {
        val kept = fallback ?: return false
        fallback = null
        nextSelection?.cancel(false)
        // The attempt that goes on is counted when it ends; one that is abandoned may have been executed.
        if (current == null) counts.executions--
        current?.abandon()
        releaseCurrent()
        reservation = kept.reservation
        current = kept.attempt
        kept.attempt.setAutoRead(response.isWritable)
        val detail = "server=${kept.attempt.server.id} reason=\"$reason\" event=${forwarder.lastEventId}"
        exchange.log("fell_back", detail)
        return true
    }

    /** Handles a sign of life of [attempt]: if the request is tried elsewhere meanwhile, it goes on where it was. */
    fun onAlive(attempt: Attempt) {
        if (fallback?.attempt === attempt) fallBack("server went on")
    }

    /** Handles that the current attempt begins an answer that the caller gets: no other may work on the request now. */
    fun onAnswerBegins() {
        if (fallback == null) return
        abandonFallback()
        forwarder.discardUnsent()
    }

    /** Ends the fallback, if there is one, without a call of the exchange. */
    fun abandonFallback() {
        val kept = fallback ?: return
        fallback = null
        kept.attempt.abandon()
        kept.reservation?.release()
    }

    /** Ends all attempts; [keepConnection] if the connection of the current one may carry other requests. */
    fun end(keepConnection: Boolean) {
        if (keepConnection) current?.setAutoRead(true) else current?.abandon()
        releaseCurrent()
        reservation = null
        abandonFallback()
    }
}
