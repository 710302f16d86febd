package io.apricotslip.bench.capacity

/** The number of VMs that share one VM list, and the size and request rate of what they serve. */
internal data class FleetSize(
    val name: String,
    val vms: Int,
    val engines: Int,
    val adapters: Int,
    val requestsPerSecond: Double,
)

/** What one VM uses for one mechanism: fraction of a core, and bytes sent per second. */
internal data class ResourceUsage(val coreShare: Double, val bytesPerSecond: Double)

/** Computes the resource usage of one VM with the current protocol from the measured [slopes]. */
internal class Sizing(private val slopes: Slopes) {
    /** Heartbeats to all VMs of the list and their acknowledgements, in both directions. */
    fun heartbeats(fleet: FleetSize): ResourceUsage {
        val peers = fleet.vms - 1
        val size = fleet.vms.toDouble()
        val codecMicros = slopes.heartbeatMessage.micros + slopes.ackMessage.micros
        val micros = slopes.heartbeat.valueAt(size) + slopes.ack.valueAt(size) + codecMicros
        val bytes = slopes.heartbeatMessage.bytes + slopes.ackMessage.bytes
        return ResourceUsage(
            HEARTBEATS_PER_SECOND * peers * micros / MICROS_PER_SECOND,
            HEARTBEATS_PER_SECOND * peers * bytes,
        )
    }

    /** Passes for all engines that other VMs own, once per lease. */
    fun passes(fleet: FleetSize): ResourceUsage {
        val otherEngines = fleet.engines * maxOf(0.0, 1 - 2.0 / fleet.vms)
        val micros = slopes.ranking.valueAt(fleet.vms.toDouble()) + slopes.passMessage.micros
        return ResourceUsage(
            otherEngines / LEASE_SECONDS * micros / MICROS_PER_SECOND,
            otherEngines / LEASE_SECONDS * slopes.passMessage.bytes,
        )
    }

    /** Statuses of owned engines sent to every VM; assumes that all of them change within each interval. */
    fun statuses(fleet: FleetSize): ResourceUsage {
        val ownedEngines = fleet.engines.toDouble() / fleet.vms
        val sentPerSecond = ownedEngines * (fleet.vms - 1) * STATUSES_PER_SECOND
        val coreShare = sentPerSecond * slopes.statusCpu.valueAt(ADAPTERS_PER_STATUS) / MICROS_PER_SECOND
        return ResourceUsage(coreShare, sentPerSecond * slopes.statusBytes.valueAt(ADAPTERS_PER_STATUS))
    }

    /** Sends the whole manifest to every VM at each change, and parses it once. */
    fun manifests(fleet: FleetSize): ResourceUsage {
        val adapters = fleet.adapters.toDouble()
        val pushMicros = (fleet.vms - 1) * slopes.offerCpu.valueAt(adapters) + slopes.readCpu.valueAt(adapters)
        return ResourceUsage(
            CONFIGURATION_CHANGES_PER_SECOND * pushMicros / MICROS_PER_SECOND,
            CONFIGURATION_CHANGES_PER_SECOND * (fleet.vms - 1) * manifestBytes(fleet),
        )
    }

    /** Periodic scheduler decisions for each engine of the manifest, whether or not this VM owns it. */
    fun engineTicks(fleet: FleetSize): ResourceUsage =
        ResourceUsage(TICKS_PER_SECOND * fleet.engines * slopes.decideWithoutRole.line.slope / MICROS_PER_SECOND, 0.0)

    /** Ranks the engines of one model for each request that enters at this VM. */
    fun ranking(fleet: FleetSize, models: Int): ResourceUsage {
        val engines = fleet.engines.toDouble() / models
        val requests = fleet.requestsPerSecond / fleet.vms
        return ResourceUsage(requests * slopes.placementRank.valueAt(engines) / MICROS_PER_SECOND, 0.0)
    }

    /** Size in bytes of the manifest text. */
    fun manifestBytes(fleet: FleetSize): Double =
        slopes.adapterText.line.slope * fleet.adapters + slopes.engineText.line.slope * fleet.engines

    /** Heap in bytes for control data of one VM: manifest and its text, peers, statuses and schedulers. */
    fun heap(fleet: FleetSize): Double = manifestBytes(fleet) +
        slopes.adapterHeap.line.slope * fleet.adapters +
        slopes.engineHeap.line.slope * fleet.engines +
        slopes.membershipHeap.line.slope * fleet.vms +
        slopes.placementHeap.line.slope * fleet.engines +
        slopes.schedulerHeap.line.slope * fleet.engines * 2 / fleet.vms +
        slopes.schedulerWithoutRoleHeap.line.slope * fleet.engines * (1 - 2.0 / fleet.vms)

    companion object {
        /** Number of adapters reported in the status of one engine. */
        const val ADAPTERS_PER_STATUS = 16.0

        /** The 18,000 configuration changes a day of the scale requirements, per second. */
        const val CONFIGURATION_CHANGES_PER_SECOND = 18_000.0 / 86_400

        private const val HEARTBEATS_PER_SECOND = 2.0
        private const val LEASE_SECONDS = 3.0
        private const val TICKS_PER_SECOND = 20.0
        private const val STATUSES_PER_SECOND = 5.0
        private const val MICROS_PER_SECOND = 1e6
    }
}
