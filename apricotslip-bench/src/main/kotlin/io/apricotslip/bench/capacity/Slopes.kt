package io.apricotslip.bench.capacity

/** The measured series and messages from which [Sizing] is computed, in bytes and microseconds. */
internal class Slopes(private val series: List<Series>, private val messages: List<NamedMessage>) {
    val membershipHeap: Series = find("membership and guard heap")
    val heartbeat: Series = find("one heartbeat received, CPU")
    val ack: Series = find("one acknowledgement received, CPU")
    val ranking: Series = find("ranking of one engine")
    val adapterText: Series = find("manifest text", "adapter")
    val engineText: Series = find("manifest text", "engine")
    val adapterHeap: Series = find("manifest heap", "adapter")
    val engineHeap: Series = find("manifest heap", "engine")
    val offerCpu: Series = find("manifest offer to one peer, CPU")
    val readCpu: Series = find("manifest read, CPU", "adapter")
    val placementHeap: Series = find("placement heap")
    val placementRank: Series = find("placement rank")
    val schedulerHeap: Series = find("scheduler heap, 16 resident")
    val schedulerWithoutRoleHeap: Series = find("scheduler without a role heap")
    val decideWithoutRole: Series = find("scheduler without a role decide")
    val statusBytes: Series = find("EngineStatus, bytes")
    val statusCpu: Series = find("EngineStatus, CPU")
    val heartbeatMessage: NamedMessage = messages.first { it.name == "Heartbeat" }
    val ackMessage: NamedMessage = messages.first { it.name == "HeartbeatAck" }
    val passMessage: NamedMessage = messages.first { it.name == "Pass" }

    private fun find(name: String, per: String? = null): Series =
        series.first { it.name.startsWith(name) && (per == null || it.per == per) }
}
