package io.apricotslip.core.manifest

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.core.observe.HistoryRecorder
import io.apricotslip.safety.ActiveManifest
import io.apricotslip.safety.ManifestDecision
import io.apricotslip.safety.ManifestRefusal
import io.apricotslip.safety.ManifestStore
import org.tinylog.kotlin.Logger

/** The manifest in force on this node, and the refused ones. Used on the loop. */
internal class ManifestTracker(private val loop: NodeLoop, private val history: HistoryRecorder) {
    private val shelf = ManifestStore()
    private val listeners = mutableListOf<(Manifest) -> Unit>()

    /** The manifest in force with its text and source, or null before the first. */
    val inForce: ActiveManifest? get() = shelf.active

    /** The manifest in force, or null before the first. */
    val current: Manifest? get() = shelf.active?.manifest

    /** Revision in force; 0 before the first. */
    val revision: ManifestRevision get() = shelf.revision

    /** The refused manifests, newest first. */
    val refused: List<ManifestRefusal> get() = shelf.refused

    /** Calls [listener] on the loop whenever a manifest comes into force. */
    fun onChange(listener: (Manifest) -> Unit) {
        listeners += listener
    }

    /** Considers a published text; only a valid one with a higher revision comes into force. */
    fun offer(text: String, publishedRevision: Long, source: String) {
        when (val decision = shelf.offer(text, publishedRevision, source, loop.now())) {
            is ManifestDecision.Activated -> accepted(decision.manifest, source)
            is ManifestDecision.NotNewer -> Unit
            is ManifestDecision.Refused -> logRefused(decision, publishedRevision, source)
        }
    }

    private fun accepted(manifest: Manifest, source: String) {
        history.record(EventKind.IN_FORCE) { copy(revision = manifest.revision.value) }
        Logger.info("event=manifest_in_force revision={} source={}", manifest.revision, source)
        listeners.forEach { it(manifest) }
    }

    private fun logRefused(decision: ManifestDecision.Refused, publishedRevision: Long, source: String): Unit =
        Logger.warn(
            "event=manifest_refused published={} source={} faults={} first=\"{}\"",
            publishedRevision,
            source,
            decision.faults.size,
            decision.faults.firstOrNull(),
        )
}
