package io.apricotslip.core.owner

import io.apricotslip.api.id.VmId
import io.apricotslip.core.link.Links
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.core.observe.HistoryRecorder
import io.apricotslip.core.observe.NodeMetrics
import io.apricotslip.core.observe.NodeTraces
import io.apricotslip.safety.EvictGuard
import io.apricotslip.safety.FenceCounter
import io.apricotslip.safety.Membership
import io.apricotslip.settings.NodeSettings

/** Dependencies shared by all engine owners of a node. */
internal class OwnerContext(
    val self: VmId,
    val settings: NodeSettings,
    val loop: NodeLoop,
    val links: Links,
    val membership: Membership,
    val guard: EvictGuard,
    val fences: FenceCounter,
    val metrics: NodeMetrics,
    val traces: NodeTraces,
    val history: HistoryRecorder,
)
