package io.apricotslip.rules.placement

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.manifest.EngineEntry
import kotlin.math.ln

/** Weighted rendezvous hashing of adapters to engines; an engine's share of the adapters grows with its weight. */
public object RendezvousHashing {
    /** Returns [engines] ranked for [adapter], the preferred engine first. Ties are broken by the engine's id. */
    public fun rank(
        adapter: AdapterVersion,
        engines: List<EngineEntry>,
        weight: (EngineEntry) -> Double,
    ): List<EngineEntry> {
        val scores = engines.associateWith { score(adapter, it, weight(it)) }
        return engines.sortedWith(compareBy<EngineEntry> { scores.getValue(it) }.thenBy { it.id })
    }

    /** Hash of the pair of [first] and [second], above 0 and at most 1; the same on all nodes. */
    public fun unitHash(first: String, second: String): Double =
        ((mix(fnv1a(first) xor mix(fnv1a(second))) ushr SHIFT) + 1) / UNIT_DIVISOR

    private fun score(adapter: AdapterVersion, engine: EngineEntry, weight: Double): Double =
        -ln(unitHash("$adapter", engine.id.value)) / weight

    private fun fnv1a(text: String): Long = text.fold(FNV_OFFSET) { h, c -> (h xor c.code.toLong()) * FNV_PRIME }

    /** The finalizer of MurmurHash3. */
    private fun mix(value: Long): Long {
        val a = (value xor (value ushr MIX_SHIFT)) * MIX_FIRST
        val b = (a xor (a ushr MIX_SHIFT)) * MIX_SECOND
        return b xor (b ushr MIX_SHIFT)
    }

    private const val SHIFT = 11
    private const val MIX_SHIFT = 33
    private const val MIX_FIRST = -0xae502812aa7333L
    private const val MIX_SECOND = -0x3b314601e57a13adL
    private const val UNIT_DIVISOR = 9007199254740993.0
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
}
