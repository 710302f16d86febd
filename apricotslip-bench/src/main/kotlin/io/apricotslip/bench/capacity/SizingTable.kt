package io.apricotslip.bench.capacity

import java.util.Locale

/** Writes what a VM spends in fleets of several sizes, and where the limits of letter 1 are passed. */
internal class SizingTable(private val sizing: Sizing) {
    private class Mechanism(val name: String, val spend: (Fleet) -> Spend)

    private val mechanisms =
        listOf(
            Mechanism("heartbeats", sizing::heartbeats),
            Mechanism("passes", sizing::passes),
            Mechanism("statuses", sizing::statuses),
            Mechanism("manifest pushes", sizing::manifests),
            Mechanism("engine ticks", sizing::engineTicks),
            Mechanism("ranking of requests") { sizing.ranking(it, if (it.vms > TODAY_VMS) MODELS else 1) },
        )

    fun text(): String = spends() + "\n\n" + heaps() + "\n\n" + breaks()

    private fun spends(): String {
        val head = listOf("one VM spends") + fleets.map { it.name }
        val rows = mechanisms.map { m -> listOf(m.name) + fleets.map { cell(m.spend(it)) } }
        return SlopeTable.rows(listOf(head, head.map { "---" }) + rows)
    }

    private fun heaps(): String {
        val head = listOf("one VM holds") + fleets.map { it.name }
        val rows =
            listOf(
                listOf("manifest text, MB") + fleets.map { megabytes(sizing.manifestBytes(it)) },
                listOf("heap for control, MB") + fleets.map { megabytes(sizing.heap(it)) },
            )
        return SlopeTable.rows(listOf(head, head.map { "---" }) + rows)
    }

    private fun breaks(): String {
        val head = listOf("mechanism alone passes its limit", "1.9% of a core", "13 KB/s")
        val rows =
            mechanisms.map { m ->
                listOf(
                    m.name,
                    first {
                        m.spend(it).core > CORE
                    },
                    first { m.spend(it).bytesPerSecond > BYTES_PER_SECOND },
                )
            }
        return SlopeTable.rows(listOf(head, head.map { "---" }) + rows)
    }

    /** The smallest fleet in proportion to that of letter 1 for which [over] holds. */
    private fun first(over: (Fleet) -> Boolean): String {
        val size = (2..goal.vms).firstOrNull { over(part(it)) } ?: return "not by 2,100 VMs"
        return "at $size VMs"
    }

    private fun part(vms: Int): Fleet = Fleet(
        name = "part",
        vms = vms,
        engines = vms * goal.engines / goal.vms,
        adapters = vms * goal.adapters / goal.vms,
        requestsPerSecond = vms * goal.requestsPerSecond / goal.vms,
    )

    private fun cell(spend: Spend): String = "%.3f%%, %s KB/s".format(
        Locale.ROOT,
        spend.core * PERCENT,
        SlopeTable.number(spend.bytesPerSecond / KILO),
    )

    private fun megabytes(bytes: Double): String = SlopeTable.number(bytes / MEGA)

    private companion object {
        const val TODAY_VMS = 7
        const val MODELS = 4
        const val CORE = 0.019
        const val BYTES_PER_SECOND = 13_000.0
        const val PERCENT = 100.0
        const val KILO = 1e3
        const val MEGA = 1e6

        val goal = Fleet("2,100 VMs, one list", 2_100, 10_000, 54_000, 42_000.0)

        val fleets =
            listOf(
                Fleet("Tandemratas, 6 VMs", 6, 6, 3_000, 20.0),
                Fleet("Llyn, 7 VMs", 7, 13, 3_000, 40.0),
                goal,
                Fleet("a cell of 24 VMs", 24, 114, 54_000, 480.0),
            )
    }
}
