package io.apricotslip.serving.crash

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.RequestTrait
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.peer.CrashEvidence
import io.apricotslip.serving.crash.CrashAttribution.ANY_REQUEST_POSITION
import kotlin.random.Random

/**
 * Keeps requests that crash servers away from them, by a part of their prompt or as whole requests.
 *
 * Each node records the crashes that it sees and the traits that are answered, and merges the evidence of the others.
 * Evidence counts after it had the time to reach every node, so that all nodes decide alike. Memory and messages are
 * bounded, whatever the number of traits.
 */
public class RequestQuarantine {
    /** Traits that were put into quarantine, and traits whose quarantine was lifted because they were answered. */
    public class Changes(public val added: List<CrashEvidence.QuarantinedTrait>, public val lifted: List<RequestTrait>)

    private val records = LinkedHashMap<ServerIncarnation, CrashRecord>()
    private val answers = AnswerTimes(MAX_ANSWERED_TRAITS)
    private val answeredRequests = AnswerTimes(MAX_ANSWERED_TRAITS)
    private val announcedUntil = TraitTimes(MAX_ANNOUNCED_TRAITS)
    private val entries = QuarantineList()
    private var suspects = emptySet<RequestTrait>()
    private var refreshed = 0

    /** Whether any crash or quarantine is known; while there is none, whole requests need not be told apart. */
    public val hasEvidence: Boolean
        get() = records.isNotEmpty() || !entries.isEmpty

    /** The traits that are in quarantine at [now]. */
    public fun activeTraits(now: Long): Set<RequestTrait> = entries.active(now)

    /**
     * Records that [server] of [service] crashed while requests with [traits] had no answer; later calls add to the
     * first.
     *
     * @param traits the traits with their positions in their request.
     */
    public fun recordCrash(
        server: BackendServerId,
        startedAtMillis: Long,
        service: ServiceId,
        traits: Map<RequestTrait, Int>,
        now: Long,
    ) {
        if (traits.isEmpty()) return
        val all = traits + (RequestTrait.any(service) to ANY_REQUEST_POSITION)
        addCrash(ServerIncarnation(server, startedAtMillis), now, all, now)
        evaluate(now)
    }

    /** Records that the answer of [service] to a request with [traits] has begun, which clears these traits. */
    public fun recordAnswered(service: ServiceId, traits: Collection<RequestTrait>, now: Long) {
        val answer = Random.nextInt()
        recordAnswer(RequestTrait.any(service), now, answer, now)
        traits.forEach { recordAnswer(it, now, answer, now) }
    }

    /** Whether a request with [traits] may be sent at [now]. */
    public fun standing(traits: Collection<RequestTrait>, now: Long): RequestStanding {
        val quarantined = traits.maxOfOrNull { entries.remainingMillis(it, now) } ?: 0
        if (quarantined > 0) return RequestStanding.Quarantined(quarantined)
        val suspected = traits.filter { it in suspects }.ifEmpty { return RequestStanding.Clear }
        val newest = records.values.filter { record -> suspected.any { it in record.traits } }.maxOfOrNull { it.at }
        val millis = (newest ?: return RequestStanding.Clear) + SETTLE_MILLIS - now
        return if (millis > 0) RequestStanding.Suspended(millis) else RequestStanding.Clear
    }

    /** Applies the passing of time; must be called a few times a second. Returns what changed since the last call. */
    public fun tick(now: Long): Changes {
        records.values.removeIf { now - it.at > if (it.isClosed) EXPLAINED_TTL_MILLIS else CRASH_TTL_MILLIS }
        evaluate(now)
        return entries.takeChanges(now)
    }

    /**
     * The evidence for the other nodes; null when there is none. A crash is told while there is something new about it,
     * and now and then to nodes that joined later.
     */
    public fun evidence(now: Long): CrashEvidence? {
        announcedUntil.removeBefore(now)
        val told = toldRecords(now)
        val crashes = told.map {
            CrashEvidence.Crash(it.incarnation.server, it.incarnation.startedAtMillis, now - it.at, it.traits.toMap())
        }
        val mentioned = told.flatMapTo(LinkedHashSet()) { it.traits.keys } + announcedUntil.keys
        val answered = mentioned.mapNotNull { trait ->
            latestAnswer(trait)?.let { CrashEvidence.AnsweredTrait(trait, now - it.at, it.id) }
        }
        val quarantines = entries.toMessages(now)
        if (crashes.isEmpty() && answered.isEmpty() && quarantines.isEmpty()) return null
        return CrashEvidence(crashes, answered, quarantines)
    }

    private fun toldRecords(now: Long): List<CrashRecord> {
        if (records.isEmpty()) return emptyList()
        val inTurn = records.values.elementAt(refreshed++.mod(records.size))
        return records.values.filter { it === inTurn || now - it.changedAt < TELL_MILLIS }
    }

    /** Merges the evidence of another node. */
    public fun merge(evidence: CrashEvidence, now: Long) {
        evidence.answers.forEach { recordAnswer(it.trait, now - validAge(it.ageMillis), it.answer, now) }
        for (crash in evidence.crashes) {
            val at = now - validAge(crash.ageMillis)
            addCrash(ServerIncarnation(crash.server, crash.startedAtMillis), at, crash.traits, now)
        }
        evidence.quarantines.forEach {
            entries.merge(it, latestAnswer(it.trait)?.at, now)?.let { trait -> announce(trait, now) }
        }
        evaluate(now)
    }

    private fun timesOf(trait: RequestTrait) = if (trait.isWholeRequest) answeredRequests else answers

    private fun latestAnswer(trait: RequestTrait) = timesOf(trait).latest(trait)

    private fun recordAnswer(trait: RequestTrait, at: Long, answer: Int, now: Long) {
        if (!timesOf(trait).put(trait, at, answer)) return
        if (entries.clear(trait, at)) announce(trait, now)
    }

    private fun addCrash(incarnation: ServerIncarnation, at: Long, traits: Map<RequestTrait, Int>, now: Long) {
        val record = records.getOrPut(incarnation) { CrashRecord(incarnation, at, now) }
        record.at = minOf(record.at, at)
        if (record.cause != null) return
        val room = MAX_TRAITS_PER_CRASH - record.traits.size
        val unknown = traits.filterKeys { it !in record.traits && !isAnsweredAfter(record, it, now) }
        val suspectedFirst = unknown.entries.sortedByDescending { (trait, _) ->
            if (trait.isAnyRequest) Int.MAX_VALUE else records.values.count { trait in it.traits }
        }
        val added = suspectedFirst.take(maxOf(0, room))
        added.forEach { (trait, position) -> record.traits[trait] = position }
        if (added.isNotEmpty()) record.changedAt = now
        while (records.size > MAX_CRASHES) records.remove(records.values.minBy { it.at }.incarnation)
    }

    private fun evaluate(now: Long) {
        clearAnswered(now)
        // Each turn explains a crash, so that there are no more turns than crashes.
        var turns = 0
        while (turns++ < MAX_CRASHES) {
            explain()
            val settled = records.values.filter { now - it.at >= SETTLE_MILLIS }
            val found = rank(settled, now)?.takeIf { it.proven } ?: break
            entries.add(found.trait, found.records.minOf { it.at }, now)
            val inAll = found.records.map { it.traits.keys.toSet() }.reduce(Set<RequestTrait>::intersect)
            found.records.forEach { close(it, found.trait, inAll.filterNotTo(HashSet(), RequestTrait::isAnyRequest)) }
        }
        suspects = rank(records.values, now)?.suspects.orEmpty()
    }

    private fun rank(candidates: Collection<CrashRecord>, now: Long) =
        CrashAttribution.rank(candidates, { latestAnswer(it)?.at }) { entries.lapsed(it, now) }

    /** Drops traits from crashes after which they were answered. */
    private fun clearAnswered(now: Long) {
        for (record in records.values) {
            record.traits.keys.removeIf { trait ->
                isAnsweredAfter(record, trait, now)
            }
            if (record.cause?.let(entries::contains) == false) record.cause = null
        }
        records.values.removeIf { it.cause == null && it.traits.keys.all(RequestTrait::isAnyRequest) }
    }

    /** Whether [trait] was answered after the crash [record]; if so, this is told to the nodes that do not know it. */
    private fun isAnsweredAfter(record: CrashRecord, trait: RequestTrait, now: Long): Boolean {
        val answer = latestAnswer(trait) ?: return false
        if (answer.at <= record.at) return false
        announce(trait, now)
        return true
    }

    /** Closes the crashes with a trait that is in quarantine: they are no evidence against the other traits in them. */
    private fun explain() {
        for (record in records.values) {
            if (record.cause != null) continue
            val cause = record.traits.keys.find { entries.explains(it, record.at) } ?: continue
            close(record, cause, emptySet())
        }
    }

    private fun close(record: CrashRecord, cause: RequestTrait, others: Set<RequestTrait>) {
        record.cause = cause
        record.traits.keys.retainAll(if (cause.isWholeRequest) others + cause else setOf(cause))
    }

    private fun announce(trait: RequestTrait, now: Long) = announcedUntil.put(trait, now + ANNOUNCE_MILLIS)

    public companion object {
        /** Time for a report to pass from a node over two hubs to every other node. */
        public const val SETTLE_MILLIS: Long = 900

        /** A trait that is requested rarely crashes servers rarely. */
        private const val CRASH_TTL_MILLIS = 600_000L

        /** Covers the time for which nodes may still report what else they had at a server. */
        private const val EXPLAINED_TTL_MILLIS = 5_000L

        /** Several reports, so that a lost one does not matter. */
        private const val TELL_MILLIS = 3_000L
        private const val ANNOUNCE_MILLIS = 5_000L

        /** Ages beyond this make no difference; other nodes may send any value. */
        internal fun validAge(millis: Long): Long = millis.coerceIn(0, MAX_AGE_MILLIS)

        private const val MAX_AGE_MILLIS = 86_400_000L

        /** More crashes than a fleet sees until their cause is known; bounds the size of a report. */
        private const val MAX_CRASHES = 16

        /** Of about twenty requests without an answer: two parts each, and the whole request. */
        private const val MAX_TRAITS_PER_CRASH = 64
        private const val MAX_ANNOUNCED_TRAITS = 64

        /** Parts, or requests, that one node sees in some minutes. */
        private const val MAX_ANSWERED_TRAITS = 2_048
    }
}
