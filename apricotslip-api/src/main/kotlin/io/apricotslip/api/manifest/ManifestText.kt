package io.apricotslip.api.manifest

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import io.apricotslip.api.json.JsonDocument
import kotlinx.serialization.json.Json

/** Reads and writes manifests as JSON with comments. The nodes and `apricotslip manifest check` share this code. */
public object ManifestText {
    /** Maximum size of a manifest in bytes of UTF-8; equals the maximum value size of the configuration service. */
    public const val MAX_BYTES: Int = 1_048_576

    private val document = JsonDocument(Manifest.serializer(), ManifestRules::violations)

    /** Returns the manifest in [text] when it is valid, otherwise all its faults in the order of the text. */
    public fun read(text: String): Result<Manifest, List<ManifestFault>> {
        val bytes = text.encodeToByteArray().size
        if (bytes > MAX_BYTES) return Err(listOf(ManifestFault("$", "has $bytes bytes; at most $MAX_BYTES are held")))
        return document.read(text).mapError { faults -> faults.map { ManifestFault(it.path, it.reason, it.position) } }
    }

    /** Writes [manifest] so that [read] returns an equal one. */
    public fun write(manifest: Manifest): String = Json.encodeToString(Manifest.serializer(), manifest)
}
