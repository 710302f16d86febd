package io.apricotslip.bench.capacity

/** VMs that share one list, and what they serve. */
internal data class Fleet(
    val name: String,
    val vms: Int,
    val engines: Int,
    val adapters: Int,
    val requestsPerSecond: Double,
)

/** What one VM spends on one mechanism: part of a core, and bytes sent a second. */
internal data class Spend(val core: Double, val bytesPerSecond: Double)

/** Computes what a VM spends with today's protocol from the measured [slopes]. */
internal class Sizing(private val slopes: Slopes) {
    /** Heartbeats to every VM of the list and their acknowledgements, in both directions. */
    fun heartbeats(fleet: Fleet): Spend {
        val peers = fleet.vms - 1
        val size = fleet.vms.toDouble()
        val links = slopes.heartbeatMessage.micros + slopes.ackMessage.micros
        val micros = slopes.heartbeat.at(size) + slopes.ack.at(size) + links
        val bytes = slopes.heartbeatMessage.bytes + slopes.ackMessage.bytes
        return Spend(HEARTBEATS_PER_SECOND * peers * micros / MICROS, HEARTBEATS_PER_SECOND * peers * bytes)
    }

    /** Passes for all engines of other VMs, once a lease. */
    fun passes(fleet: Fleet): Spend {
        val others = fleet.engines * maxOf(0.0, 1 - 2.0 / fleet.vms)
        val micros = slopes.ranking.at(fleet.vms.toDouble()) + slopes.passMessage.micros
        return Spend(others / LEASE_SECONDS * micros / MICROS, others / LEASE_SECONDS * slopes.passMessage.bytes)
    }

    /** Statuses of the own engines to every VM, when all change within each interval. */
    fun statuses(fleet: Fleet): Spend {
        val own = fleet.engines.toDouble() / fleet.vms
        val sent = own * (fleet.vms - 1) * STATUSES_PER_SECOND
        val core = sent * slopes.statusCpu.at(ADAPTERS) / MICROS
        return Spend(core, sent * slopes.statusBytes.at(ADAPTERS))
    }

    /** The whole manifest to every VM at each change, and one reading of it. */
    fun manifests(fleet: Fleet): Spend {
        val adapters = fleet.adapters.toDouble()
        val pushed = (fleet.vms - 1) * slopes.offerCpu.at(adapters) + slopes.readCpu.at(adapters)
        return Spend(CHANGES_PER_SECOND * pushed / MICROS, CHANGES_PER_SECOND * (fleet.vms - 1) * manifestBytes(fleet))
    }

    /** Regular work for each engine of the manifest, whether or not it is this VM's; its decisions alone. */
    fun engineTicks(fleet: Fleet): Spend =
        Spend(TICKS_PER_SECOND * fleet.engines * slopes.idleDecide.line.slope / MICROS, 0.0)

    /** Ranking of the engines of one model for each request that enters at this VM. */
    fun ranking(fleet: Fleet, models: Int): Spend {
        val engines = fleet.engines.toDouble() / models
        val requests = fleet.requestsPerSecond / fleet.vms
        return Spend(requests * slopes.placementRank.at(engines) / MICROS, 0.0)
    }

    /** Bytes of the text of the manifest. */
    fun manifestBytes(fleet: Fleet): Double =
        slopes.adapterText.line.slope * fleet.adapters + slopes.engineText.line.slope * fleet.engines

    /** Bytes of heap for control at one VM: manifest with its text, peers, statuses and schedulers. */
    fun heap(fleet: Fleet): Double = manifestBytes(fleet) +
        slopes.adapterHeap.line.slope * fleet.adapters +
        slopes.engineHeap.line.slope * fleet.engines +
        slopes.membershipHeap.line.slope * fleet.vms +
        slopes.placementHeap.line.slope * fleet.engines +
        slopes.schedulerHeap.line.slope * fleet.engines * 2 / fleet.vms +
        slopes.idleSchedulerHeap.line.slope * fleet.engines * (1 - 2.0 / fleet.vms)

    companion object {
        /** Adapters told in the status of one engine. */
        const val ADAPTERS = 16.0

        /** Changes of configuration a day in letter 1, per second. */
        const val CHANGES_PER_SECOND = 18_000.0 / 86_400

        private const val HEARTBEATS_PER_SECOND = 2.0
        private const val LEASE_SECONDS = 3.0
        private const val TICKS_PER_SECOND = 20.0
        private const val STATUSES_PER_SECOND = 5.0
        private const val MICROS = 1e6
    }
}
