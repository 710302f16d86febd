package io.apricotslip.bench.capacity

/** `capacity`: measures the slopes on which docs/CAPACITY.md rests and prints them as tables. */
public fun main() {
    val series = FleetProbe.run() + ManifestProbe.run() + RulesProbe.run() + StreamProbe.run()
    val messages = FleetProbe.messages() + StreamProbe.messages()
    println(SlopeTable.of(series))
    println()
    println(messageTable(messages))
    println()
    println(SizingTable(Sizing(Slopes(series, messages))).text())
}

private fun messageTable(messages: List<NamedMessage>): String {
    val head = listOf("message", "bytes with frame", "CPU of both ends, us")
    val rows = messages.map { listOf(it.name, it.bytes.toString(), SlopeTable.number(it.micros)) }
    return SlopeTable.rows(listOf(head, head.map { "---" }) + rows)
}
