package io.apricotslip.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import io.apricotslip.api.json.JsonDocument
import java.io.IOException
import java.nio.charset.StandardCharsets
import java.nio.file.Files
import java.nio.file.Path

/**
 * Reads the settings of a node from JSON with comments.
 *
 * Reports all faults at once: unknown, repeated and missing keys, wrong types and units, values out of range, and
 * values that conflict.
 */
public object SettingsReader {
    private const val EXAMPLE_RESOURCE = "/apricotslip/node.example.jsonc"
    private val document = JsonDocument(NodeSettings.serializer(), SettingsRules::violations)

    /** Returns the settings in [text], or all their faults in the order of the text. */
    public fun read(text: String): Result<NodeSettings, List<SettingsFault>> =
        document.read(text).mapError { faults -> faults.map { SettingsFault(it.path, it.reason, it.position) } }

    /** Returns the settings in the file at [path]; an unreadable file is reported as a fault with the path `$`. */
    public fun readFile(path: Path): Result<NodeSettings, List<SettingsFault>> {
        val text =
            try {
                Files.readString(path)
            } catch (e: IOException) {
                return Err(listOf(SettingsFault("$", "cannot read $path: ${e.javaClass.simpleName} ${e.message}")))
            }
        return read(text)
    }

    /** Returns the annotated example, which lists every key with its default. */
    public fun example(): String = checkNotNull(SettingsReader::class.java.getResourceAsStream(EXAMPLE_RESOURCE)) {
        "resource $EXAMPLE_RESOURCE is missing"
    }
        .use { String(it.readAllBytes(), StandardCharsets.UTF_8) }
}
