package io.apricotslip.api.json

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Compares a document with the descriptor of the expected type. Collects every unknown, repeated or missing key and
 * every value of a wrong type. Also creates a repaired copy, with placeholders for missing and mistyped values, so that
 * the rules on the other values can still be checked.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class StructureWalker {
    private val foundFaults = mutableListOf<JsonFault>()
    private val foundPositions = mutableMapOf<String, JsonPosition>()

    /** Faults in the order of the text. */
    val faults: List<JsonFault> get() = foundFaults

    /** Position of each value by its path. */
    val positions: Map<String, JsonPosition> get() = foundPositions

    /** Checks the value [json] at [path] and returns its repaired copy. */
    fun walk(json: LocatedJson, descriptor: SerialDescriptor, path: String = ""): JsonElement {
        foundPositions[path] = json.position
        if (descriptor.isInline) return walk(json, descriptor.getElementDescriptor(0), path)
        if (descriptor.isNullable && json is LocatedJson.Scalar && json.value is JsonNull) return JsonNull
        return when (descriptor.kind) {
            StructureKind.CLASS, StructureKind.OBJECT -> walkObject(json, descriptor, path)
            StructureKind.LIST -> walkList(json, descriptor, path)
            StructureKind.MAP -> walkMap(json, descriptor, path)
            else -> walkScalar(json, descriptor, path)
        }
    }

    private fun walkObject(json: LocatedJson, descriptor: SerialDescriptor, path: String): JsonElement {
        if (json !is LocatedJson.Object) return mistyped(json, descriptor, path)
        val repaired = mutableMapOf<String, JsonElement>()
        for (member in json.members) {
            val index = descriptor.getElementIndex(member.name)
            val memberPath = path.key(member.name)
            when {
                index < 0 -> fault(memberPath, KeyHints.unknown(member.name, descriptor), member.position)
                member.name in repaired -> fault(memberPath, "the key is given twice", member.position)
                else -> repaired[member.name] = walk(member.value, descriptor.getElementDescriptor(index), memberPath)
            }
        }
        for (index in 0 until descriptor.elementsCount) {
            val name = descriptor.getElementName(index)
            if (name in repaired || descriptor.isElementOptional(index)) continue
            val expected = descriptor.getElementDescriptor(index)
            fault(path.key(name), "the key is missing: ${KeyHints.expected(name, expected)} is needed", json.position)
            repaired[name] = placeholder(expected)
        }
        return JsonObject(repaired)
    }

    private fun walkList(json: LocatedJson, descriptor: SerialDescriptor, path: String): JsonElement {
        if (json !is LocatedJson.Array) return mistyped(json, descriptor, path)
        val item = descriptor.getElementDescriptor(0)
        return JsonArray(json.items.mapIndexed { i, value -> walk(value, item, "$path[$i]") })
    }

    private fun walkMap(json: LocatedJson, descriptor: SerialDescriptor, path: String): JsonElement {
        if (json !is LocatedJson.Object) return mistyped(json, descriptor, path)
        val value = descriptor.getElementDescriptor(1)
        return JsonObject(json.members.associate { it.name to walk(it.value, value, path.key(it.name)) })
    }

    private fun walkScalar(json: LocatedJson, descriptor: SerialDescriptor, path: String): JsonElement {
        val value = (json as? LocatedJson.Scalar)?.value
        return if (value != null && fits(value, descriptor)) value else mistyped(json, descriptor, path)
    }

    private fun fits(value: JsonPrimitive, descriptor: SerialDescriptor): Boolean = when (descriptor.kind) {
        PrimitiveKind.STRING -> value.isString

        PrimitiveKind.BOOLEAN -> !value.isString && value.content.toBooleanStrictOrNull() != null

        PrimitiveKind.INT -> !value.isString && value.content.toIntOrNull() != null

        PrimitiveKind.LONG -> !value.isString && value.content.toLongOrNull() != null

        PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT ->
            !value.isString && value.content.toDoubleOrNull()?.isFinite() == true

        SerialKind.ENUM -> value.isString && descriptor.getElementIndex(value.content) >= 0

        else -> true
    }

    private fun mistyped(json: LocatedJson, descriptor: SerialDescriptor, path: String): JsonElement {
        val key = path.substringAfterLast('.')
        val reason = "${KeyHints.expected(key, descriptor)} is needed, found ${KeyHints.found(json)}"
        fault(path.ifEmpty { ROOT }, reason, json.position)
        return placeholder(descriptor)
    }

    private fun placeholder(descriptor: SerialDescriptor): JsonElement = when {
        descriptor.isNullable -> JsonNull
        descriptor.isInline -> placeholder(descriptor.getElementDescriptor(0))
        descriptor.kind == StructureKind.LIST -> JsonArray(emptyList())
        descriptor.kind == StructureKind.CLASS -> placeholderObject(descriptor)
        descriptor.kind == StructureKind.MAP -> JsonObject(emptyMap())
        descriptor.kind == SerialKind.ENUM -> JsonPrimitive(descriptor.getElementName(0))
        descriptor.kind == PrimitiveKind.STRING -> JsonPrimitive("")
        descriptor.kind == PrimitiveKind.BOOLEAN -> JsonPrimitive(false)
        else -> JsonPrimitive(0)
    }

    private fun placeholderObject(descriptor: SerialDescriptor): JsonElement = JsonObject(
        (0 until descriptor.elementsCount)
            .filterNot(descriptor::isElementOptional)
            .associate { descriptor.getElementName(it) to placeholder(descriptor.getElementDescriptor(it)) },
    )

    private fun fault(path: String, reason: String, position: JsonPosition) {
        foundFaults += JsonFault(path, reason, position)
    }

    private fun String.key(name: String): String = if (isEmpty()) name else "$this.$name"

    internal companion object {
        /** Path of the whole document. */
        const val ROOT: String = "$"
    }
}
