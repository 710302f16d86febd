package io.apricotslip.serving.crash

import io.apricotslip.api.id.RequestTrait

/**
 * Decides which trait of requests crashes servers: a part of their prompts, or one whole request that comes again.
 *
 * Workload: servers crash, and each time several requests have no answer yet. The cause is in all of them and is never
 * answered, while what is beside it is answered elsewhere sooner or later, or is in fewer crashes. Crashes for other
 * reasons have nothing in common; when nothing at all is answered, the servers are at fault.
 */
public object CrashAttribution {
    /** Position of a whole request among its traits: it is in fewer other requests than any of its parts. */
    public const val WHOLE_REQUEST_POSITION: Int = 1_000

    /** Position of what stands for all requests, which is the least likely cause. */
    internal const val ANY_REQUEST_POSITION = -1

    /** What [rank] found: [trait] is the most suspicious, in [records]; those of [tied] are as suspicious. */
    internal class Suspicion(
        val trait: RequestTrait,
        val records: Collection<CrashRecord>,
        private val crashes: Int,
        private val tied: Set<RequestTrait>,
        private val nothingAnswered: Boolean,
    ) {
        /** Whether the crashes suffice to blame [trait]. */
        val proven: Boolean
            get() = !nothingAnswered && crashes >= if (tied.isEmpty()) MIN_CRASHES else MIN_CRASHES_WHEN_TIED

        /** All traits that may be the cause, once there is more than coincidence; empty before. */
        val suspects: Set<RequestTrait>
            get() = if (nothingAnswered || crashes < MIN_CRASHES) emptySet() else tied + trait
    }

    /** A trait, the crashes with it that nothing [unexplained] yet, and those that a request with it explains. */
    private class Candidate(
        val trait: RequestTrait,
        val unexplained: List<CrashRecord>,
        val explained: List<CrashRecord>,
        private val extra: Int,
        val answeredAt: Long?,
    ) {
        private val all = unexplained + explained
        val separateCrashes = separateCrashes(all) + extra
        val servers = all.size + extra
        val position = unexplained.maxOf { it.traits.getValue(trait) }

        /**
         * The number of crashes that count as evidence. Servers of one rack crash at the same time, and different
         * requests with a common part are at several of them; one request is not.
         */
        val evidence = if (trait.isWholeRequest) servers else separateCrashes

        /** Crashes in [evidence] after which nothing of the service was answered, though other requests were sent. */
        val outages: Int = unexplained.filter(::isOutage).let {
            if (trait.isWholeRequest) it.size else separateCrashes(it)
        }

        private fun isOutage(record: CrashRecord): Boolean {
            val others = !trait.isWholeRequest || record.traits.keys.any { it.isWholeRequest && it != trait }
            return others && record.traits.keys.any(RequestTrait::isAnyRequest)
        }

        fun sharesCrash(other: Candidate) = other !== this && unexplained.any { other.trait in it.traits }
    }

    /** Most suspicious first: in the most crashes, at the most servers, and never answered before. */
    private val suspicion = compareByDescending<Candidate> { it.separateCrashes }
        .thenByDescending { it.servers }
        .thenBy { it.answeredAt ?: Long.MIN_VALUE }

    /** Of equally suspicious traits the last one of its request is in the fewest other requests. */
    private val order = suspicion.thenByDescending { it.position }

    /**
     * The most suspicious trait in [records]; null when they have none.
     *
     * A crash that a whole request explains still counts against a part that was in all crashes of that request, once
     * this part is in a crash that nothing explains: then it explains both, and the request only its own.
     *
     * @param answeredAt time of the last answer to a request with a trait.
     * @param repeatOffender whether a trait was in quarantine before; one crash is enough then.
     */
    internal fun rank(
        records: Collection<CrashRecord>,
        answeredAt: (RequestTrait) -> Long?,
        repeatOffender: (RequestTrait) -> Boolean,
    ): Suspicion? {
        val unexplained = records.filter { it.cause == null }
        val explainedByRequest = records.filter { it.cause?.isWholeRequest == true }
        val candidates = unexplained.flatMapTo(LinkedHashSet()) { it.traits.keys }
            .filterNot(RequestTrait::isAnyRequest)
            .map { trait ->
                Candidate(
                    trait = trait,
                    unexplained = unexplained.filter { trait in it.traits },
                    explained = explainedByRequest.filter { trait in it.traits && it.cause != trait },
                    extra = if (repeatOffender(trait)) 1 else 0,
                    answeredAt = answeredAt(trait),
                )
            }
            .sortedWith(order)
        val first = candidates.firstOrNull() ?: return null
        val tied = candidates.filter { first.sharesCrash(it) && suspicion.compare(first, it) == 0 }
        return Suspicion(
            trait = first.trait,
            records = first.unexplained,
            crashes = first.evidence,
            tied = tied.mapTo(HashSet()) { it.trait },
            nothingAnswered = first.outages >= first.evidence,
        )
    }

    /** The number of [records] less those at the same time as another one. */
    private fun separateCrashes(records: List<CrashRecord>): Int {
        var count = 0
        var last: Long? = null
        for (at in records.map { it.at }.sorted()) {
            if (last != null && at - last < SIMULTANEOUS_MILLIS) continue
            count++
            last = at
        }
        return count
    }

    /** One crash may have any reason; two with the same unanswered trait are hardly a coincidence. */
    private const val MIN_CRASHES = 2

    /** A request beside the cause may be sent again to the same server, and be in two crashes with it. */
    private const val MIN_CRASHES_WHEN_TIED = 3

    /** Nodes see a crash within a few milliseconds of each other; a slow one takes longer. */
    private const val SIMULTANEOUS_MILLIS = 100L
}
