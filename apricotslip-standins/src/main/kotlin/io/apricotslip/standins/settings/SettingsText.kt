package io.apricotslip.standins.settings

import com.github.michaelbull.result.Result
import io.apricotslip.api.json.JsonDocument
import io.apricotslip.api.json.JsonFault
import io.apricotslip.api.json.RuleFault
import kotlinx.serialization.KSerializer

/** Settings that know their own rules. */
internal interface Checked {
    /** Every broken rule; paths start with [path]. */
    fun faults(path: String): List<RuleFault>
}

/** Reads settings: JSON with comments. */
internal object SettingsText {
    /** The settings in [text], or all their faults. */
    fun <T : Checked> read(text: String, serializer: KSerializer<T>): Result<T, List<JsonFault>> =
        JsonDocument(serializer) { it.faults("") }.read(text)
}
