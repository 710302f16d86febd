package io.apricotslip.serving.crash

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.PromptPartId
import io.apricotslip.api.peer.CrashEvidence
import io.apricotslip.serving.crash.CrashAttribution.ANY_PROMPT
import kotlin.random.Random

/**
 * Keeps prompts with a part that crashes servers away from them.
 *
 * Each node records the crashes that it sees and the parts that are answered, and merges the evidence of the others.
 * Evidence counts after it had the time to reach every node, so that all nodes decide alike. Memory and messages are
 * bounded, whatever the number of parts.
 */
public class PromptQuarantine {
    /** Parts that were put into quarantine, and parts whose quarantine was lifted because they were answered. */
    public class Changes(public val added: List<CrashEvidence.QuarantinedPart>, public val lifted: List<PromptPartId>)

    private val records = LinkedHashMap<ServerLife, CrashRecord>()
    private val answers = AnswerTimes(MAX_ANSWERED_PARTS)
    private val announcedUntil = PartTimes(MAX_ANNOUNCED_PARTS)
    private val entries = QuarantineList()
    private var provisional: PromptPartId? = null

    /** The parts that are in quarantine at [now]. */
    public fun activeParts(now: Long): Set<PromptPartId> = entries.active(now)

    /** Records that [server] crashed while the prompts with [parts] had no answer; later calls add to the first. */
    public fun recordCrash(server: BackendServerId, startedAtMillis: Long, parts: Map<PromptPartId, Int>, now: Long) {
        if (parts.isEmpty()) return
        addCrash(ServerLife(server, startedAtMillis), now, parts + (ANY_PROMPT to -1))
        evaluate(now)
    }

    /** Records that the answer to a prompt with [parts] has begun, which clears these parts. */
    public fun recordAnswered(parts: List<PromptPartId>, now: Long) {
        val answer = Random.nextInt()
        recordAnswer(ANY_PROMPT, now, answer, now)
        parts.forEach { recordAnswer(it, now, answer, now) }
    }

    /** Whether a prompt with [parts] may be sent at [now]. */
    public fun standing(parts: List<PromptPartId>, now: Long): PromptStanding {
        if (parts.isEmpty()) return PromptStanding.Clear
        val quarantined = parts.maxOf { entries.remainingMillis(it, now) }
        if (quarantined > 0) return PromptStanding.Quarantined(quarantined)
        val suspect = provisional?.takeIf { it in parts } ?: return PromptStanding.Clear
        val newest = records.values.filter { suspect in it.parts }.maxOfOrNull { it.at } ?: return PromptStanding.Clear
        val millis = newest + SETTLE_MILLIS - now
        return if (millis > 0) PromptStanding.Suspended(millis) else PromptStanding.Clear
    }

    /** Applies the passing of time; must be called a few times a second. Returns what changed since the last call. */
    public fun tick(now: Long): Changes {
        records.values.removeIf { now - it.at > if (explained(it)) EXPLAINED_TTL_MILLIS else CRASH_TTL_MILLIS }
        evaluate(now)
        return entries.takeChanges(now)
    }

    /** The evidence for the other nodes; null when there is none. */
    public fun evidence(now: Long): CrashEvidence? {
        announcedUntil.removeBefore(now)
        val crashes = records.values.map {
            CrashEvidence.Crash(it.life.server, it.life.startedAtMillis, now - it.at, it.parts.toMap())
        }
        val mentioned = records.values.flatMapTo(LinkedHashSet()) { it.parts.keys } + announcedUntil.keys
        val answered = mentioned.mapNotNull { part ->
            answers.latest(part)?.let { CrashEvidence.AnsweredPart(part, now - it.at, it.id) }
        }
        val quarantines = entries.toMessages(now)
        if (crashes.isEmpty() && answered.isEmpty() && quarantines.isEmpty()) return null
        return CrashEvidence(crashes, answered, quarantines)
    }

    /** Merges the evidence of another node. */
    public fun merge(evidence: CrashEvidence, now: Long) {
        evidence.answers.forEach { recordAnswer(it.part, now - validAge(it.ageMillis), it.answer, now) }
        for (crash in evidence.crashes) {
            addCrash(ServerLife(crash.server, crash.startedAtMillis), now - validAge(crash.ageMillis), crash.parts)
        }
        evidence.quarantines.forEach { entries.merge(it, answers[it.part], now)?.let { part -> announce(part, now) } }
        evaluate(now)
    }

    private fun recordAnswer(part: PromptPartId, at: Long, answer: Int, now: Long) {
        if (!answers.put(part, at, answer)) return
        if (entries.clear(part, at)) announce(part, now)
    }

    private fun addCrash(life: ServerLife, at: Long, parts: Map<PromptPartId, Int>) {
        val record = records.getOrPut(life) { CrashRecord(life, at, LinkedHashMap()) }
        record.at = minOf(record.at, at)
        val room = MAX_PARTS_PER_CRASH - record.parts.size
        val unknown = parts.filterKeys { it !in record.parts }
        val suspectedFirst = unknown.entries.sortedByDescending { (part, _) ->
            if (part == ANY_PROMPT) Int.MAX_VALUE else records.values.count { part in it.parts }
        }
        suspectedFirst.take(maxOf(0, room)).forEach { (part, position) -> record.parts[part] = position }
        while (records.size > MAX_CRASHES) records.remove(records.values.minBy { it.at }.life)
    }

    private fun evaluate(now: Long) {
        clearAnswered(now)
        // Each turn explains a crash, so that there are no more turns than crashes.
        var turns = 0
        while (turns++ < MAX_CRASHES) {
            val settled = records.values.filter { !explained(it) && now - it.at >= SETTLE_MILLIS }
            val culprit = culprit(settled, now) ?: break
            entries.add(culprit, records.values.filter { culprit in it.parts }.minOf { it.at }, now)
            reduceExplained()
        }
        provisional = culprit(records.values.filterNot(::explained), now)
    }

    private fun culprit(candidates: List<CrashRecord>, now: Long) =
        CrashAttribution.culprit(candidates, answers::get) { entries.lapsed(it, now) }

    /** Drops parts from crashes after which they were answered. */
    private fun clearAnswered(now: Long) {
        reduceExplained()
        for (record in records.values) {
            if (explained(record)) continue
            record.parts.keys.removeIf { part ->
                val answered = (answers[part] ?: Long.MIN_VALUE) > record.at
                if (answered) announce(part, now)
                answered
            }
        }
        records.values.removeIf { it.parts.keys.all { part -> part == ANY_PROMPT } }
    }

    /** A crash with a part that is in quarantine is no evidence against the other parts. */
    private fun reduceExplained() {
        for (record in records.values) {
            val culprit = record.parts.keys.find(entries::contains) ?: continue
            if (entries.explains(culprit, record.at)) record.parts.keys.retainAll(setOf(culprit))
        }
    }

    private fun explained(record: CrashRecord): Boolean = record.parts.keys.any { entries.explains(it, record.at) }

    private fun announce(part: PromptPartId, now: Long) = announcedUntil.put(part, now + ANNOUNCE_MILLIS)

    public companion object {
        /** Time for a report to pass from a node over two hubs to every other node. */
        public const val SETTLE_MILLIS: Long = 900

        /** A part that is requested rarely crashes servers rarely. */
        private const val CRASH_TTL_MILLIS = 600_000L

        /** Covers the time for which nodes may still report what else they had at a server. */
        private const val EXPLAINED_TTL_MILLIS = 5_000L

        /** Several reports, so that a lost one does not matter. */
        private const val ANNOUNCE_MILLIS = 5_000L

        /** Ages beyond this make no difference; other nodes may send any value. */
        internal fun validAge(millis: Long): Long = millis.coerceIn(0, MAX_AGE_MILLIS)

        private const val MAX_AGE_MILLIS = 86_400_000L

        /** More crashes than a fleet sees until their cause is known; bounds the size of a report. */
        private const val MAX_CRASHES = 16
        private const val MAX_PARTS_PER_CRASH = 24
        private const val MAX_ANNOUNCED_PARTS = 32

        /** Parts that one node sees in some minutes. */
        private const val MAX_ANSWERED_PARTS = 2_048
    }
}
