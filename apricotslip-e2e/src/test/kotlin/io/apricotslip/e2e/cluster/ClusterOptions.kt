package io.apricotslip.e2e.cluster

import io.apricotslip.api.manifest.FenceCheck
import io.apricotslip.api.manifest.WhenFull
import io.apricotslip.settings.NodeSettings

/** Options of one engine in a test cluster. */
internal data class EngineOptions(
    val id: String,
    val slots: Int = 2,
    val batch: Int = 4,
    val fence: FenceCheck = FenceCheck.CHECKED,
    val whenFull: WhenFull = WhenFull.REFUSES,
)

/**
 * Composition of a test cluster on loopback.
 *
 * @property bookingReplicas number of replicas of the booking service.
 * @property adapters names of the adapters; each has the versions `v1` and `v2`, with `v1` as the default.
 * @property vmListLagMillis lag of the VM list service.
 * @property stepMillis duration of a step of an engine.
 * @property customizeSettings adapts the settings of each node.
 */
internal data class ClusterOptions(
    val vms: Int = 3,
    val engines: List<EngineOptions> = listOf(EngineOptions("e1"), EngineOptions("e2", fence = FenceCheck.IGNORED)),
    val bookingReplicas: Int = 2,
    val adapters: List<String> = listOf("plans", "notes"),
    val vmListLagMillis: Long = 0,
    val stepMillis: Int = 10,
    val customizeSettings: (NodeSettings) -> NodeSettings = { it },
)
