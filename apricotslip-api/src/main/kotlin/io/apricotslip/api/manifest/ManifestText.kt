package io.apricotslip.api.manifest

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads and writes manifests as JSON with comments. The nodes and `apricotslip manifest check` share this code. */
@OptIn(ExperimentalSerializationApi::class)
public object ManifestText {
    private val json =
        Json {
            allowComments = true
            allowTrailingComma = true
            ignoreUnknownKeys = false
        }

    /** The manifest in [text] when it is valid, else all its faults. */
    public fun read(text: String): Result<Manifest, List<ManifestFault>> {
        val manifest =
            try {
                json.decodeFromString<Manifest>(text)
            } catch (e: SerializationException) {
                return Err(listOf(syntaxFault(text, e)))
            }
        val faults = ManifestRules.faults(manifest)
        return if (faults.isEmpty()) Ok(manifest) else Err(faults)
    }

    /** Writes [manifest] so that [read] returns an equal one. */
    public fun write(manifest: Manifest): String = json.encodeToString(Manifest.serializer(), manifest)

    private fun syntaxFault(text: String, e: SerializationException): ManifestFault {
        val message = e.message.orEmpty()
        val offset = Regex("at offset (\\d+)").find(message)?.groupValues?.get(1)?.toIntOrNull()
        val path = Regex("at path:? (\\$\\S*)").find(message)?.groupValues?.get(1)
        val place = offset?.let { position(text, it) } ?: path ?: "$"
        return ManifestFault(place, message.lineSequence().first())
    }

    private fun position(text: String, offset: Int): String {
        val before = text.take(offset)
        val line = before.count { it == '\n' } + 1
        val column = offset - (before.lastIndexOf('\n') + 1) + 1
        return "$line:$column"
    }
}
