package io.apricotslip.bench.capacity

/** `capacity`: measures how costs grow with size and prints the slopes that docs/CAPACITY.md uses as tables. */
public fun main() {
    val series = FleetProbe.run() + ManifestProbe.run() + RulesProbe.run() + StreamProbe.run()
    val messages = FleetProbe.messages() + StreamProbe.messages()
    println(SlopeTable.of(series))
    println()
    println(messageTable(messages))
    println()
    println(SizingTable(Sizing(Slopes(series, messages))).markdown())
}

private fun messageTable(messages: List<NamedMessage>): String {
    val header = listOf("message", "bytes with frame", "CPU of both ends, us")
    val rows = messages.map { listOf(it.name, it.bytes.toString(), SlopeTable.formatNumber(it.micros)) }
    return SlopeTable.markdownTable(listOf(header, header.map { "---" }) + rows)
}
