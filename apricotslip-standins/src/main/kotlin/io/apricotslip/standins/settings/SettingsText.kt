package io.apricotslip.standins.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Settings that know their own rules. */
internal interface Checked {
    /** Every broken rule; paths start with [path]. */
    fun faults(path: String): List<SettingsFault>
}

/** Reads settings: JSON with comments. */
@OptIn(ExperimentalSerializationApi::class)
internal object SettingsText {
    private val json = Json {
        allowComments = true
        allowTrailingComma = true
    }

    /** The settings in [text], or all their faults. */
    fun <T : Checked> read(text: String, serializer: KSerializer<T>): Result<T, List<SettingsFault>> {
        val tree = try {
            json.parseToJsonElement(text)
        } catch (e: SerializationException) {
            return Err(listOf(SettingsFault("$", e.message.orEmpty().lineSequence().first())))
        }
        val shapeFaults = SettingsShape.faults(tree, serializer.descriptor)
        if (shapeFaults.isNotEmpty()) return Err(shapeFaults)
        val settings = json.decodeFromJsonElement(serializer, tree)
        val faults = settings.faults("")
        return if (faults.isEmpty()) Ok(settings) else Err(faults)
    }
}
