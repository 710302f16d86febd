package io.apricotslip.e2e.cluster

import io.apricotslip.api.manifest.FenceCheck
import io.apricotslip.api.manifest.WhenFull
import io.apricotslip.settings.NodeSettings

/** One engine of a cluster. */
internal data class EngineOptions(
    val id: String,
    val slots: Int = 2,
    val batch: Int = 4,
    val fence: FenceCheck = FenceCheck.CHECKED,
    val whenFull: WhenFull = WhenFull.REFUSES,
)

/**
 * What a cluster on loopback is made of.
 *
 * @property adapters names of adapters; each has the versions `v1` and `v2`, `v1` being the default.
 * @property tune changes the settings of each node.
 */
internal data class ClusterOptions(
    val vms: Int = 3,
    val engines: List<EngineOptions> = listOf(EngineOptions("e1"), EngineOptions("e2", fence = FenceCheck.IGNORED)),
    val bookings: Int = 2,
    val adapters: List<String> = listOf("plans", "notes"),
    val listLagMillis: Long = 0,
    val stepMillis: Int = 10,
    val tune: (NodeSettings) -> NodeSettings = { it },
)
