package io.apricotslip.api.json

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Reads a [T] from JSON with comments and trailing commas, reporting all faults at once: syntax, unknown, repeated
 * and missing keys, values of a wrong type, and violated rules.
 *
 * Compliant: `JsonDocument(Manifest.serializer(), ManifestRules::faults).read(text)`. Non-compliant: decoding first
 * and checking the rules afterwards, which reports only the first fault.
 *
 * @param rules returns the violated rules of a value whose structure is valid.
 */
public class JsonDocument<T>(private val serializer: KSerializer<T>, private val rules: (T) -> List<RuleFault>) {
    /** Returns the value in [text], or all its faults in the order of the text. */
    public fun read(text: String): Result<T, List<JsonFault>> {
        val json = LocatedJsonParser.parse(text).getOrElse { return Err(listOf(it)) }
        val walker = StructureWalker()
        val repaired = walker.walk(json, serializer.descriptor)
        val value =
            try {
                Json.decodeFromJsonElement(serializer, repaired)
            } catch (e: SerializationException) {
                return Err(walker.faults.ifEmpty { listOf(undecodable(e)) })
            }
        val violations = rules(value).filter { rule -> walker.faults.none { it.affects(rule) } }
        val faults = (walker.faults + violations.map { JsonFault(it.path, it.reason, walker.positionOf(it.path)) })
        return if (faults.isEmpty()) Ok(value) else Err(faults.sortedWith(byPosition))
    }

    private fun undecodable(e: SerializationException) =
        JsonFault(StructureWalker.ROOT, e.message.orEmpty().lineSequence().first())

    private fun JsonFault.affects(rule: RuleFault): Boolean =
        (rule.comparedPaths + rule.path).any { it.isWithin(path) || path.isWithin(it) }

    private fun String.isWithin(path: String): Boolean =
        path == StructureWalker.ROOT || this == path || startsWith("$path.") || startsWith("$path[")

    private fun StructureWalker.positionOf(path: String): JsonPosition? {
        var ancestor = path
        while (ancestor.isNotEmpty()) {
            positions[ancestor]?.let { return it }
            ancestor = ancestor.substring(0, maxOf(ancestor.lastIndexOf('.'), ancestor.lastIndexOf('['), 0))
        }
        return positions[ancestor]
    }

    private companion object {
        val byPosition: Comparator<JsonFault> = compareBy({ it.position?.line ?: 0 }, { it.position?.column ?: 0 })
    }
}
