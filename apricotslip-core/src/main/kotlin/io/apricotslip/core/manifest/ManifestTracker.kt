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

/**
 * Tracks the manifest in force on this node and the refused ones, and notifies listeners of each new manifest. Confined
 * to the node's event loop.
 */
internal class ManifestTracker(private val loop: NodeLoop, private val history: HistoryRecorder) {
    private val manifestStore = ManifestStore()
    private val listeners = mutableListOf<(Manifest) -> Unit>()

    /** The manifest in force with its text and source, or null before the first manifest is accepted. */
    val active: ActiveManifest? get() = manifestStore.active

    /** The manifest in force, or null before the first manifest is accepted. */
    val current: Manifest? get() = manifestStore.active?.manifest

    /** Revision of the manifest in force; 0 before the first manifest is accepted. */
    val revision: ManifestRevision get() = manifestStore.revision

    /** The refused manifests, newest first. */
    val refused: List<ManifestRefusal> get() = manifestStore.refused

    /** Calls [listener] on the loop whenever a manifest comes into force. */
    fun onChange(listener: (Manifest) -> Unit) {
        listeners += listener
    }

    /** Validates the published [text]; it comes into force only if it is valid and has a higher revision. */
    fun offer(text: String, publishedRevision: Long, source: String) {
        when (val decision = manifestStore.offer(text, publishedRevision, source, loop.now())) {
            is ManifestDecision.Activated -> onInForce(decision.manifest, source)
            is ManifestDecision.NotNewer -> Unit
            is ManifestDecision.Refused -> logRefused(decision, publishedRevision, source)
        }
    }

    private fun onInForce(manifest: Manifest, source: String) {
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
