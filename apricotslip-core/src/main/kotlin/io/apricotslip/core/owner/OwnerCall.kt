package io.apricotslip.core.owner

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.backends.engine.EngineEvent
import io.apricotslip.rules.engine.WorkItem
import io.apricotslip.wire.Message
import io.opentelemetry.api.trace.Span
import reactor.core.Disposable

/**
 * One request at the owner of its engine. Buffers the tokens that the entry VM has not credited yet, so that none are
 * lost when the link fails. Confined to the node's event loop.
 *
 * @property entryVm VM that receives the tokens; changes when the caller's stream resumes over another link.
 * @property startMessage message that started the request; null for a stream taken over from another owner.
 * @property work scheduler's view of the request; null for a stream taken over from another owner.
 */
internal class OwnerCall(
    val request: RequestId,
    val adapter: AdapterVersion,
    var entryVm: VmId,
    val startMessage: Message.GenerateStart?,
    val work: WorkItem?,
    val span: Span?,
) {
    private val uncredited = ArrayDeque<EngineEvent.Token>()

    /** Subscription to the engine's stream; null until the request is sent to the engine. */
    var stream: Disposable? = null

    /** Offset of the next token expected from the engine. */
    var nextOffset: Int = 0
        private set

    /** Tokens before this offset were credited and are no longer buffered. */
    var creditedUpTo: Int = 0
        private set

    /** Tokens before this offset were queued on the link. */
    var sentUpTo: Int = 0

    /** End of the stream, once received from the engine. */
    var end: EngineEvent.End? = null

    /** Whether [end] was queued on the link. */
    var endSent: Boolean = false

    /** Number of times that the engine's stream was resumed after a failure. */
    var resumeCount: Int = 0

    /** Nanoseconds that the request waited for its adapter. */
    var stallNanos: Long = 0

    /** Whether the request was sent to the engine. */
    var started: Boolean = false

    /** Monotonic time at which the link to the entry VM went down, in nanoseconds; null while the link is up. */
    var orphanedAt: Long? = null

    /** Takes over a stream of another owner at token offset [from]. */
    fun takeOverAt(from: Int) {
        nextOffset = from
        creditedUpTo = from
        sentUpTo = from
        started = true
    }

    /**
     * Buffers [token] until it is credited, if it has the next expected offset; drops repeats and tokens after a gap.
     * Returns whether it was buffered.
     */
    fun append(token: EngineEvent.Token): Boolean {
        if (token.offset != nextOffset) return false
        uncredited.addLast(token)
        nextOffset++
        return true
    }

    /** Drops the tokens before offset [upTo] from the buffer; returns how many more tokens the engine may send. */
    fun credit(upTo: Int): Int {
        if (upTo <= creditedUpTo) return 0
        val freed = upTo.coerceAtMost(nextOffset) - creditedUpTo
        repeat(freed) { uncredited.removeFirst() }
        creditedUpTo += freed
        sentUpTo = sentUpTo.coerceAtLeast(creditedUpTo)
        return freed
    }

    /**
     * Marks the tokens from offset [from] and the end as unsent, so that they are sent again. Tokens before
     * [creditedUpTo] are no longer buffered, so a lower offset is raised to it.
     */
    fun rewind(from: Int) {
        sentUpTo = from.coerceIn(creditedUpTo, nextOffset)
        endSent = false
    }

    /** The buffered tokens that were not sent yet. */
    fun unsent(): List<EngineEvent.Token> = uncredited.drop(sentUpTo - creditedUpTo)
}
