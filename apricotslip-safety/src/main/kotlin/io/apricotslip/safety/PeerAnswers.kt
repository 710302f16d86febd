package io.apricotslip.safety

import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId

/** The newest answered heartbeat of one peer: sent by us at [sentAt] (nanoseconds), answered with [revision]. */
internal data class PeerAnswer(val sequence: Long, val sentAt: Long, val revision: ListRevision)

/**
 * Heartbeats sent and the newest answer of each peer.
 *
 * @param firstSequence must differ between two lives of a VM, so that an answer to a former life matches nothing.
 */
internal class PeerAnswers(firstSequence: Long) {
    private var nextSequence = firstSequence
    private val sent = LinkedHashMap<Long, Long>()
    private val answers = HashMap<VmId, PeerAnswer>()

    /** Records a round of heartbeats sent at [now] and returns its sequence. */
    fun send(now: Long): Long {
        val sequence = nextSequence++
        sent[sequence] = now
        if (sent.size > REMEMBERED_ROUNDS) sent.remove(sent.keys.first())
        return sequence
    }

    /** Records an answer. Answers to unknown rounds and older ones than the newest are ignored. */
    fun answered(from: VmId, sequence: Long, revision: ListRevision) {
        val sentAt = sent[sequence] ?: return
        val newest = answers[from]
        if (newest != null && newest.sequence > sequence) return
        if (newest != null && newest.sequence == sequence && newest.revision >= revision) return
        answers[from] = PeerAnswer(sequence, sentAt, revision)
    }

    operator fun get(vm: VmId): PeerAnswer? = answers[vm]

    /** Forgets all answers, and those to come to rounds sent so far. */
    fun forget() {
        sent.clear()
        answers.clear()
    }

    private companion object {
        const val REMEMBERED_ROUNDS = 256
    }
}
