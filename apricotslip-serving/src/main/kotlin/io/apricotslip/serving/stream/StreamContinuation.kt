package io.apricotslip.serving.stream

import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.peer.ServedVersions
import io.apricotslip.api.peer.StreamKnowledge
import io.apricotslip.api.peer.StreamOrigin
import io.apricotslip.serving.fleet.ServerEntry

/**
 * Where a stream that a caller takes up may go on.
 *
 * Workload: servers of several software versions serve side by side during a release, and streams break off when
 * servers and nodes crash. A server goes on with any stream that it is given, so that only the nodes can tell.
 */
public sealed class StreamContinuation {
    /** At servers that fit [origin]. */
    public data class At(public val origin: StreamOrigin) : StreamContinuation()

    /** Nowhere, for [reason]; the caller is told so at once. */
    public data class Nowhere(public val reason: Reason) : StreamContinuation()

    /** Why a stream cannot go on. */
    public enum class Reason {
        /** It is not known which version began it, and more than one may have. */
        ORIGIN_UNKNOWN,

        /** Several streams began under the id that the caller names. */
        ORIGIN_CONFLICTING,

        /** The service that began it is no target of its route any more. */
        ROUTE_MOVED,
    }

    public companion object {
        /**
         * Decides from the [knowledge] of all nodes that were asked, and the [versions] that they saw of the only
         * service of the route; [targets] are the services to which the route leads now.
         */
        public fun decide(
            knowledge: StreamKnowledge,
            versions: ServedVersions,
            onlyService: ServiceId?,
            targets: Set<ServiceId>,
        ): StreamContinuation = when (knowledge) {
            is StreamKnowledge.Known -> at(knowledge.origin, targets)
            StreamKnowledge.Conflicting -> Nowhere(Reason.ORIGIN_CONFLICTING)
            StreamKnowledge.Unknown ->
                if (versions is ServedVersions.Single && onlyService != null) {
                    at(StreamOrigin.Version(onlyService, versions.software), targets)
                } else {
                    Nowhere(Reason.ORIGIN_UNKNOWN)
                }
        }

        private fun at(origin: StreamOrigin, targets: Set<ServiceId>) =
            if (origin.service in targets) At(origin) else Nowhere(Reason.ROUTE_MOVED)

        /** What two nodes know together; a conflict between them is one. */
        public fun merge(a: StreamKnowledge, b: StreamKnowledge): StreamKnowledge = when {
            a == b || b == StreamKnowledge.Unknown -> a
            a == StreamKnowledge.Unknown -> b
            else -> StreamKnowledge.Conflicting
        }

        /** What two nodes saw together: one that has not watched for long enough adds nothing. */
        public fun merge(a: ServedVersions, b: ServedVersions): ServedVersions = when {
            a == b || b == ServedVersions.Unobserved -> a
            a == ServedVersions.Unobserved -> b
            else -> ServedVersions.Several
        }

        /**
         * The origin of a stream whose first event the server with [entry] writes. Servers with the same one may go on
         * with each other's streams.
         */
        public fun originOf(entry: ServerEntry): StreamOrigin = entry.software
            ?.let { StreamOrigin.Version(entry.service, it) }
            ?: StreamOrigin.Incarnation(entry.service, entry.id, entry.startedAtMillis)
    }
}
