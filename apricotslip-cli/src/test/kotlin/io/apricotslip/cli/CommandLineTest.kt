package io.apricotslip.cli

import io.apricotslip.settings.BuildVersion
import io.apricotslip.settings.SettingsReader
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/**
 * Exit codes and output of the commands that need no running node, and of invalid command lines. Scripts depend on the
 * exit codes, and kotlinx-cli by itself would end the process on a usage error.
 */
class CommandLineTest {
    @TempDir
    lateinit var dir: Path

    private fun arguments(line: String): Array<String> = line.split(' ').filter { it.isNotEmpty() }.toTypedArray()

    @Nested
    inner class `given an invalid command line` {
        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            value = [
                "'' | a command is needed",
                "manifest | one of check, in-force, refused is needed",
                "settings | one of check, example is needed",
                "manifest check | FILE",
                "manifest check none.jsonc | step=read peer=none.jsonc",
                "settings check none.jsonc | step=read peer=none.jsonc",
                "unknown | unknown",
                "status | a node is needed",
                "status --node host | not HOST:PORT",
                "status --node 127.0.0.1:70000 | not HOST:PORT",
                "status --node 127.0.0.1:1 --timeout-millis 0 | at least 1",
                "status --node 127.0.0.1:1 --timeout-millis soon | soon",
                "status --node 127.0.0.1:1 --key-file none | cannot read --key-file",
                "status --colour | --colour",
            ],
        )
        fun `the error names the mistake`(line: String, reason: String) {
            val result = runCli(*arguments(line))
            expectThat(result.code).isEqualTo(ExitCode.USAGE)
            expectThat(result.err).contains(reason)
            expectThat(result.out).isEmpty()
        }

        @Test
        fun `drain ignores the nodes from the environment`() {
            expectThat(runCli("drain", environment = mapOf("APRICOTSLIP_NODES" to "127.0.0.1:1")).code)
                .isEqualTo(ExitCode.USAGE)
        }
    }

    @Nested
    inner class `given --help` {
        @ParameterizedTest
        @ValueSource(
            strings = [
                "", "manifest", "manifest check", "manifest in-force", "manifest refused", "status", "running",
                "drain", "settings", "settings check", "settings example", "version",
            ],
        )
        fun `the usage is printed`(command: String) {
            val result = runCli(*arguments(command), "--help")
            expectThat(result.code).isEqualTo(ExitCode.OK)
            expectThat(result.out).contains("Usage: ${"apricotslip $command".trim()}")
        }
    }

    @Nested
    inner class `given files to check` {
        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            value = [
                "settings check --json | {} | FAULT | \"path\":\"vm\",\"line\":1,\"column\":1",
                "settings check | {} | FAULT | 1     1       vm",
                "manifest check | {\"revision\": 0} | FAULT | 1     14      revision",
                "manifest check --json | {\"revision\": 0} | FAULT | \"valid\":false",
                "manifest check | {\"revision\": 1, \"models\": [], \"adapters\": [], \"engines\": [], \"store\":" +
                    "{\"loadsPerSecond\": 2, \"fullSpeedInFlight\": 1, \"maxInFlight\": 8}} | OK | is valid",
            ],
        )
        fun `all faults are printed`(command: String, text: String, code: ExitCode, expected: String) {
            val file = Files.writeString(dir.resolve("file.jsonc"), text)
            val result = runCli(*arguments(command), "$file")
            expectThat(result.code).isEqualTo(code)
            expectThat(result.out).contains(expected)
        }

        @Test
        fun `the printed example passes the check`() {
            val file = Files.writeString(dir.resolve("node.jsonc"), runCli("settings", "example").out)
            expectThat(runCli("settings", "check", "$file").code).isEqualTo(ExitCode.OK)
            expectThat(Files.readString(file).trim()).isEqualTo(SettingsReader.example().trim())
        }
    }

    @Nested
    inner class `given version` {
        @Test
        fun `the version of the build is printed`() {
            expectThat(runCli("version").out.trim()).isEqualTo("apricotslip ${BuildVersion.value}")
        }
    }
}
