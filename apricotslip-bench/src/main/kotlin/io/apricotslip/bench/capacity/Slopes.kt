package io.apricotslip.bench.capacity

/** The measured lines that the sizing rests on. Bytes and microseconds. */
internal class Slopes(private val series: List<Series>, private val messages: List<NamedMessage>) {
    val membershipHeap: Line = line("membership and guard heap")
    val heartbeat: Line = line("one heartbeat received, CPU")
    val ack: Line = line("one acknowledgement received, CPU")
    val ranking: Line = line("ranking of one engine")
    val adapterText: Line = line("manifest text", "adapter")
    val engineText: Line = line("manifest text", "engine")
    val adapterHeap: Line = line("manifest heap", "adapter")
    val engineHeap: Line = line("manifest heap", "engine")
    val offerCpu: Line = line("manifest offer to one peer, CPU")
    val readCpu: Line = line("manifest read, CPU", "adapter")
    val placementHeap: Line = line("placement heap")
    val placementRank: Line = line("placement rank")
    val schedulerHeap: Line = line("scheduler heap, 16 resident")
    val statusBytes: Line = line("EngineStatus, bytes")
    val statusCpu: Line = line("EngineStatus, CPU")
    val heartbeatMessage: NamedMessage = messages.first { it.name == "Heartbeat" }
    val ackMessage: NamedMessage = messages.first { it.name == "HeartbeatAck" }
    val passMessage: NamedMessage = messages.first { it.name == "Pass" }

    private fun line(name: String, per: String? = null): Line =
        series.first { it.name.startsWith(name) && (per == null || it.per == per) }.line
}
