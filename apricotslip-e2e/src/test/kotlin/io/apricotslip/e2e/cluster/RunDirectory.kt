package io.apricotslip.e2e.cluster

import java.nio.file.Files
import java.nio.file.Path

/** Creates the directory for settings, logs and histories of a run; it is kept until the next run of that name. */
internal object RunDirectory {
    fun of(name: String): Path {
        val directory = Path.of("target", "e2e", name).toAbsolutePath()
        directory.toFile().deleteRecursively()
        return Files.createDirectories(directory)
    }
}
