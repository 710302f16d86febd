package io.apricotslip.api.json

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonNull

/** Texts for faults: which value a key expects, and which known key was probably meant. */
@OptIn(ExperimentalSerializationApi::class)
internal object KeyHints {
    private const val MAX_SHOWN_CHARS = 40
    private val unitsBySuffix = mapOf("Millis" to "milliseconds", "Bytes" to "bytes", "Tokens" to "tokens")
    private val unitSuffix =
        Regex("(Millis|Ms|Milliseconds|Seconds|Secs|S|Minutes|Hours|Bytes|Kb|KB|Mb|MB|KiB|MiB|Tokens)$")

    /** Reason of the fault for the key [name], which [descriptor] does not define. */
    fun unknown(name: String, descriptor: SerialDescriptor): String {
        val known = descriptor.elementNames.toList()
        val suggestion =
            known.firstOrNull { it.equals(name, ignoreCase = true) } ?: known.firstOrNull { stem(it) == stem(name) }
        if (suggestion == null) return "the key is unknown"
        val unit = unitOf(suggestion)?.let { " ($it)" }.orEmpty()
        return "the key is unknown; '$suggestion'$unit was probably meant"
    }

    /** Description of the value that [key] expects. */
    fun expected(key: String, descriptor: SerialDescriptor): String = when {
        descriptor.isInline -> expected(key, descriptor.getElementDescriptor(0))
        descriptor.kind == SerialKind.ENUM -> "one of ${descriptor.elementNames.joinToString { "\"$it\"" }}"
        descriptor.kind == PrimitiveKind.INT || descriptor.kind == PrimitiveKind.LONG -> "a whole number${unit(key)}"
        descriptor.kind == PrimitiveKind.DOUBLE -> "a number${unit(key)}"
        descriptor.kind == PrimitiveKind.STRING -> "a string"
        descriptor.kind == PrimitiveKind.BOOLEAN -> "true or false"
        descriptor.kind == StructureKind.LIST -> "a list"
        else -> "an object"
    }

    /** Description of the value that was found instead. */
    fun found(json: LocatedJson): String = when (json) {
        is LocatedJson.Array -> "a list"
        is LocatedJson.Object -> "an object"
        is LocatedJson.Scalar -> if (json.value is JsonNull) "null" else json.value.toString().take(MAX_SHOWN_CHARS)
    }

    private fun stem(name: String): String = name.replace(unitSuffix, "")

    private fun unit(key: String): String = unitOf(key)?.let { " of $it" }.orEmpty()

    private fun unitOf(key: String): String? = unitsBySuffix.entries.firstOrNull { key.endsWith(it.key) }?.value
}
