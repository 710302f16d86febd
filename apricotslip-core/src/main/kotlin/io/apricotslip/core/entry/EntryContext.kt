package io.apricotslip.core.entry

import io.apricotslip.api.id.VmId
import io.apricotslip.core.link.Links
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.core.manifest.ManifestTracker
import io.apricotslip.core.observe.HistoryRecorder
import io.apricotslip.core.observe.NodeMetrics
import io.apricotslip.core.observe.NodeTraces
import io.apricotslip.safety.Membership
import io.apricotslip.settings.NodeSettings

/** Dependencies that the classes of the entry role share. */
internal class EntryContext(
    val self: VmId,
    val settings: NodeSettings,
    val loop: NodeLoop,
    val links: Links,
    val membership: Membership,
    val manifests: ManifestTracker,
    val metrics: NodeMetrics,
    val traces: NodeTraces,
    val history: HistoryRecorder,
    val ready: () -> Boolean,
)
