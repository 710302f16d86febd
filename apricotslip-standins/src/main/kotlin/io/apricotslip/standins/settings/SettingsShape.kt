package io.apricotslip.standins.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** Compares a JSON tree with the shape of a settings class and finds every unknown, missing or mistyped key. */
@OptIn(ExperimentalSerializationApi::class)
internal object SettingsShape {
    /** All differences between [element] and [shape]. */
    fun faults(element: JsonElement, shape: SerialDescriptor, path: String = ""): List<SettingsFault> = when {
        element is JsonNull && shape.isNullable -> emptyList()
        shape.isInline -> faults(element, shape.getElementDescriptor(0), path)
        shape.kind == StructureKind.CLASS -> objectFaults(element, shape, path)
        shape.kind == StructureKind.LIST -> listFaults(element, shape.getElementDescriptor(0), path)
        shape.kind == SerialKind.ENUM -> enumFaults(element, shape, path)
        else -> primitiveFaults(element, shape.kind, path)
    }

    private fun objectFaults(element: JsonElement, shape: SerialDescriptor, path: String): List<SettingsFault> {
        if (element !is JsonObject) return listOf(SettingsFault(path.ifEmpty { "$" }, "must be an object"))
        val known = shape.elementNames.toList()
        val unknown = (element.keys - known.toSet()).map { SettingsFault(child(path, it), "unknown key") }
        return unknown + known.flatMapIndexed { i, key ->
            val value = element[key]
            when {
                value != null -> faults(value, shape.getElementDescriptor(i), child(path, key))
                shape.isElementOptional(i) -> emptyList()
                else -> listOf(SettingsFault(child(path, key), "is missing"))
            }
        }
    }

    private fun listFaults(element: JsonElement, item: SerialDescriptor, path: String): List<SettingsFault> {
        if (element !is JsonArray) return listOf(SettingsFault(path, "must be a list"))
        return element.flatMapIndexed { i, e -> faults(e, item, "$path[$i]") }
    }

    private fun enumFaults(element: JsonElement, shape: SerialDescriptor, path: String): List<SettingsFault> {
        val names = shape.elementNames.toList()
        val isKnown = element is JsonPrimitive && element.isString && element.content in names
        return if (isKnown) emptyList() else listOf(SettingsFault(path, "must be one of $names"))
    }

    private fun primitiveFaults(element: JsonElement, kind: SerialKind, path: String): List<SettingsFault> {
        val value = element as? JsonPrimitive
        val problem = when (kind) {
            PrimitiveKind.STRING -> "must be a string".takeUnless { value?.isString == true }
            PrimitiveKind.BOOLEAN -> "must be true or false".takeIf { value.unquoted()?.booleanOrNull == null }
            PrimitiveKind.INT -> "must be a whole number".takeIf { value.unquoted()?.intOrNull == null }
            PrimitiveKind.LONG -> "must be a whole number".takeIf { value.unquoted()?.longOrNull == null }
            else -> "must be a number".takeIf { value.unquoted()?.doubleOrNull == null }
        }
        return listOfNotNull(problem?.let { SettingsFault(path, it) })
    }

    private fun JsonPrimitive?.unquoted(): JsonPrimitive? = this?.takeUnless { it.isString }

    private fun child(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"
}
