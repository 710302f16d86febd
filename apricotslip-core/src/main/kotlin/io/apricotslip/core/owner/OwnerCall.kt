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
 * One request at the owner of its engine: where its tokens go, and those that the entry VM has not yet credited,
 * kept so that a lost link loses none. Used on the loop.
 *
 * @property work what the scheduler knows of it; null for a stream that was taken over from another owner.
 */
internal class OwnerCall(
    val request: RequestId,
    val adapter: AdapterVersion,
    var entry: VmId,
    val start: Message.GenerateStart?,
    val work: WorkItem?,
    val span: Span?,
) {
    private val kept = ArrayDeque<EngineEvent.Token>()

    /** Subscription of the engine's stream; null while it waits. */
    var stream: Disposable? = null

    /** Offset of the next token expected from the engine. */
    var next: Int = 0
        private set

    /** Tokens before this offset were credited and are forgotten. */
    var credited: Int = 0
        private set

    /** Tokens before this offset were handed to the link. */
    var sentUpTo: Int = 0

    /** End of the stream, once the engine told it. */
    var end: EngineEvent.End? = null

    /** Whether [end] was handed to the link. */
    var endSent: Boolean = false

    /** Times that the engine's stream was taken up again. */
    var resumes: Int = 0

    /** Nanoseconds that the request waited for its adapter. */
    var stallNanos: Long = 0

    /** Whether the engine was asked to run it. */
    var started: Boolean = false

    /** When its entry VM was lost, in nanoseconds; null while there is a link. */
    var orphanedAt: Long? = null

    /** Takes up a stream of another owner from token [from]. */
    fun attachAt(from: Int) {
        next = from
        credited = from
        sentUpTo = from
        started = true
    }

    /** Keeps [token] until it is credited; a repeat is dropped. Returns whether it was new. */
    fun keep(token: EngineEvent.Token): Boolean {
        if (token.offset != next) return false
        kept.addLast(token)
        next++
        return true
    }

    /** Forgets the tokens before [upTo]; returns how many more the engine may send. */
    fun credit(upTo: Int): Int {
        if (upTo <= credited) return 0
        val freed = upTo.coerceAtMost(next) - credited
        repeat(freed) { kept.removeFirst() }
        credited += freed
        sentUpTo = sentUpTo.coerceAtLeast(credited)
        return freed
    }

    /** The entry VM asks again from [from], which is never before [credited]. */
    fun rewind(from: Int) {
        sentUpTo = from.coerceIn(credited, next)
        endSent = false
    }

    /** The kept tokens that were not yet sent. */
    fun unsent(): List<EngineEvent.Token> = kept.drop(sentUpTo - credited)
}
