package io.apricotslip.standins.settings

import com.github.michaelbull.result.Result
import io.apricotslip.api.json.JsonDocument
import io.apricotslip.api.json.JsonFault
import io.apricotslip.api.json.RuleFault
import kotlinx.serialization.KSerializer

/** Settings that validate themselves. */
internal interface Checked {
    /** Returns a fault for each violated rule; the paths of the faults start with [path]. */
    fun faults(path: String): List<RuleFault>
}

/** Parses settings in JSON with comments. */
internal object SettingsText {
    /** Returns the settings in [text], or all their faults. */
    fun <T : Checked> read(text: String, serializer: KSerializer<T>): Result<T, List<JsonFault>> =
        JsonDocument(serializer) { it.faults("") }.read(text)
}
