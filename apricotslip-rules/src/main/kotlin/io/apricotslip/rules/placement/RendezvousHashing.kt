package io.apricotslip.rules.placement

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.manifest.EngineEntry
import kotlin.math.ln

/** Weighted rendezvous hashing of adapters over engines; an engine's part grows with its weight. */
public object RendezvousHashing {
    /** [engines] in the order of their scores for [adapter]. */
    public fun rank(
        adapter: AdapterVersion,
        engines: List<EngineEntry>,
        weight: (EngineEntry) -> Double,
    ): List<EngineEntry> {
        val scores = engines.associateWith { score(adapter, it, weight(it)) }
        return engines.sortedWith(compareBy<EngineEntry> { scores.getValue(it) }.thenBy { it.id })
    }

    /** A number above 0 and at most 1 that belongs to the pair of [first] and [second], the same at all nodes. */
    public fun unitHash(first: String, second: String): Double =
        ((mix(hash(first) xor mix(hash(second))) ushr SHIFT) + 1) / UNITS

    private fun score(adapter: AdapterVersion, engine: EngineEntry, weight: Double): Double =
        -ln(unitHash("$adapter", engine.id.value)) / weight

    private fun hash(text: String): Long = text.fold(FNV_OFFSET) { h, c -> (h xor c.code.toLong()) * FNV_PRIME }

    private fun mix(value: Long): Long {
        val a = (value xor (value ushr MIX_SHIFT)) * MIX_FIRST
        val b = (a xor (a ushr MIX_SHIFT)) * MIX_SECOND
        return b xor (b ushr MIX_SHIFT)
    }

    private const val SHIFT = 11
    private const val MIX_SHIFT = 33
    private const val MIX_FIRST = -0xae502812aa7333L
    private const val MIX_SECOND = -0x3b314601e57a13adL
    private const val UNITS = 9007199254740993.0
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
}
