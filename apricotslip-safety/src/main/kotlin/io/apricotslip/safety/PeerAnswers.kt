package io.apricotslip.safety

import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId

/**
 * The newest heartbeat that a peer has answered.
 *
 * @property sentAt when this VM sent the heartbeat, in nanoseconds of the monotonic clock.
 * @property revision list revision in the peer's answer.
 */
internal data class PeerAnswer(val sequence: Long, val sentAt: Long, val revision: ListRevision)

/**
 * Records the heartbeats sent and the newest answer of each peer.
 *
 * @param firstSequence must differ between incarnations of a VM, so that an answer to an earlier incarnation matches no
 * round.
 */
internal class PeerAnswers(firstSequence: Long) {
    private var nextSequence = firstSequence
    private val sentRounds = LinkedHashMap<Long, Long>()
    private val answers = HashMap<VmId, PeerAnswer>()

    /** Records a round of heartbeats sent at [now] and returns its sequence number. */
    fun recordRound(now: Long): Long {
        val sequence = nextSequence++
        sentRounds[sequence] = now
        if (sentRounds.size > MAX_TRACKED_ROUNDS) sentRounds.remove(sentRounds.keys.first())
        return sequence
    }

    /** Records an answer of [from]. Answers to unknown rounds, and to rounds older than the newest, are ignored. */
    fun recordAnswer(from: VmId, sequence: Long, revision: ListRevision) {
        val sentAt = sentRounds[sequence] ?: return
        val newest = answers[from]
        if (newest != null && newest.sequence > sequence) return
        if (newest != null && newest.sequence == sequence && newest.revision >= revision) return
        answers[from] = PeerAnswer(sequence, sentAt, revision)
    }

    operator fun get(vm: VmId): PeerAnswer? = answers[vm]

    /** Discards all answers, and ignores later answers to the rounds sent so far. */
    fun clear() {
        sentRounds.clear()
        answers.clear()
    }

    private companion object {
        const val MAX_TRACKED_ROUNDS = 256
    }
}
