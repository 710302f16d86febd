package io.apricotslip.bench.capacity

import java.util.Locale

/**
 * Writes the resource usage of a VM in fleets of several sizes, and the fleet sizes at which it exceeds the limits of
 * the scale requirements.
 */
internal class SizingTable(private val sizing: Sizing) {
    private class Mechanism(val name: String, val usage: (FleetSize) -> ResourceUsage)

    private val mechanisms =
        listOf(
            Mechanism("heartbeats", sizing::heartbeats),
            Mechanism("passes", sizing::passes),
            Mechanism("statuses", sizing::statuses),
            Mechanism("manifest pushes", sizing::manifests),
            Mechanism("engine ticks", sizing::engineTicks),
            Mechanism("ranking of requests") {
                sizing.ranking(it, if (it.vms > CURRENT_MAX_VM_COUNT) TARGET_MODEL_COUNT else 1)
            },
        )

    fun markdown(): String = usageTable() + "\n\n" + heapTable() + "\n\n" + limitTable()

    private fun usageTable(): String {
        val header = listOf("one VM spends") + fleets.map { it.name }
        val rows = mechanisms.map { mechanism -> listOf(mechanism.name) + fleets.map { cell(mechanism.usage(it)) } }
        return SlopeTable.markdownTable(listOf(header, header.map { "---" }) + rows)
    }

    private fun heapTable(): String {
        val header = listOf("one VM holds") + fleets.map { it.name }
        val rows =
            listOf(
                listOf("manifest text, MB") + fleets.map { megabytes(sizing.manifestBytes(it)) },
                listOf("heap for control, MB") + fleets.map { megabytes(sizing.heap(it)) },
            )
        return SlopeTable.markdownTable(listOf(header, header.map { "---" }) + rows)
    }

    private fun limitTable(): String {
        val header = listOf("mechanism alone passes its limit", "1.9% of a core", "13 KB/s")
        val rows =
            mechanisms.map { mechanism ->
                listOf(
                    mechanism.name,
                    smallestFleetWhere {
                        mechanism.usage(it).coreShare > MAX_CORE_SHARE
                    },
                    smallestFleetWhere { mechanism.usage(it).bytesPerSecond > MAX_BYTES_PER_SECOND },
                )
            }
        return SlopeTable.markdownTable(listOf(header, header.map { "---" }) + rows)
    }

    /**
     * The smallest fleet for which [exceeds] holds, scaled down in proportion from [targetFleet], the fleet of the
     * scale requirements.
     */
    private fun smallestFleetWhere(exceeds: (FleetSize) -> Boolean): String {
        val size = (2..targetFleet.vms).firstOrNull { exceeds(scaledFleet(it)) } ?: return "not by 2,100 VMs"
        return "at $size VMs"
    }

    private fun scaledFleet(vms: Int): FleetSize = FleetSize(
        name = "part",
        vms = vms,
        engines = vms * targetFleet.engines / targetFleet.vms,
        adapters = vms * targetFleet.adapters / targetFleet.vms,
        requestsPerSecond = vms * targetFleet.requestsPerSecond / targetFleet.vms,
    )

    private fun cell(usage: ResourceUsage): String = "%.3f%%, %s KB/s".format(
        Locale.ROOT,
        usage.coreShare * PERCENT,
        SlopeTable.formatNumber(usage.bytesPerSecond / BYTES_PER_KILOBYTE),
    )

    private fun megabytes(bytes: Double): String = SlopeTable.formatNumber(bytes / BYTES_PER_MEGABYTE)

    private companion object {
        const val CURRENT_MAX_VM_COUNT = 7
        const val TARGET_MODEL_COUNT = 4
        const val MAX_CORE_SHARE = 0.019
        const val MAX_BYTES_PER_SECOND = 13_000.0
        const val PERCENT = 100.0
        const val BYTES_PER_KILOBYTE = 1e3
        const val BYTES_PER_MEGABYTE = 1e6

        val targetFleet = FleetSize("2,100 VMs, one list", 2_100, 10_000, 54_000, 42_000.0)

        val fleets =
            listOf(
                FleetSize("Tandemratas, 6 VMs", 6, 6, 3_000, 20.0),
                FleetSize("Llyn, 7 VMs", 7, 13, 3_000, 40.0),
                targetFleet,
                FleetSize("a cell of 24 VMs", 24, 114, 54_000, 480.0),
            )
    }
}
