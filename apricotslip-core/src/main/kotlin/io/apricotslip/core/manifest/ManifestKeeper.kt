package io.apricotslip.core.manifest

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.core.observe.HistoryRecorder
import io.apricotslip.safety.ManifestDecision
import io.apricotslip.safety.ManifestShelf
import org.tinylog.kotlin.Logger

/** The manifest in force on this node, and the refused ones. Used on the loop. */
internal class ManifestKeeper(
    private val loop: NodeLoop,
    private val history: HistoryRecorder,
) {
    private val shelf = ManifestShelf()
    private val listeners = mutableListOf<(Manifest) -> Unit>()

    /** The manifest in force, or null before the first. */
    var current: Manifest? = null
        private set

    /** Text of [current], as it was published. */
    var text: String = ""
        private set

    /** Where [current] came from: `platform` or the name of a peer. */
    var source: String? = null
        private set

    /** When [current] came into force, in nanoseconds of the loop's clock. */
    var inForceAt: Long = 0
        private set

    /** The refused manifests, newest last. */
    val refused: List<RefusedOffer> get() = refusals.toList()

    private val refusals = ArrayDeque<RefusedOffer>()

    /** Revision in force; 0 before the first. */
    val revision: ManifestRevision get() = current?.revision ?: ManifestRevision(0)

    /** Calls [listener] on the loop whenever a manifest comes into force. */
    fun onChange(listener: (Manifest) -> Unit) {
        listeners += listener
    }

    /** Considers a published text; only a valid one with a higher revision comes into force. */
    fun offer(
        text: String,
        publishedRevision: Long,
        source: String,
    ) {
        when (val decision = shelf.offer(text, publishedRevision, source, loop.now())) {
            is ManifestDecision.InForce -> accept(decision.manifest, text, source)
            is ManifestDecision.Older -> Unit
            is ManifestDecision.Refused -> refuse(decision, publishedRevision, source)
        }
    }

    private fun accept(
        manifest: Manifest,
        text: String,
        source: String,
    ) {
        current = manifest
        this.text = text
        this.source = source
        inForceAt = loop.now()
        history.record(EventKind.IN_FORCE) { copy(revision = manifest.revision.value) }
        Logger.info("event=manifest_in_force revision={} source={}", manifest.revision, source)
        listeners.forEach { it(manifest) }
    }

    private fun refuse(
        decision: ManifestDecision.Refused,
        publishedRevision: Long,
        source: String,
    ) {
        val last = refusals.lastOrNull()
        if (last?.publishedRevision == publishedRevision && last.faults == decision.faults) return
        refusals.addLast(RefusedOffer(publishedRevision, source, loop.now(), decision.faults))
        if (refusals.size > MAX_REFUSED) refusals.removeFirst()
        val first = decision.faults.firstOrNull()
        Logger.warn(
            "event=manifest_refused published={} source={} faults={} first=\"{}\"",
            publishedRevision,
            source,
            decision.faults.size,
            first,
        )
    }

    private companion object {
        const val MAX_REFUSED = 20
    }
}
