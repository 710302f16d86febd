package io.apricotslip.settings

import com.github.michaelbull.result.get
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.matches

@OptIn(ExperimentalSerializationApi::class)
class SettingsExampleTest {
    private val json =
        Json {
            allowComments = true
            allowTrailingComma = true
        }

    @Test
    fun `the values are the defaults`() {
        val onlyRequired =
            NodeSettings(
                vm = VmSettings(VmId("vm-1"), ZoneId("zone-a"), "127.0.0.1"),
                callers = CallerSettings("127.0.0.1", 8080),
                operators = OperatorSettings(8081),
                peers = PeerSettings(8082),
                platform = PlatformSettings(PlatformAddress("127.0.0.1", 8500), PlatformAddress("127.0.0.1", 8501)),
            )
        expectThat(SettingsReader.read(SettingsReader.example()).get()).isEqualTo(onlyRequired)
    }

    @Test
    fun `every key is listed`() {
        val listed = paths(json.parseToJsonElement(SettingsReader.example()))
        expectThat(listed).containsExactlyInAnyOrder(paths(NodeSettings.serializer().descriptor))
    }

    @Test
    fun `the build version is a semantic version`() {
        expectThat(BuildVersion.value).matches(Regex("""\d+\.\d+\.\d+.*"""))
    }

    private fun paths(element: JsonElement, path: String = ""): List<String> {
        if (element !is JsonObject) return listOf(path)
        return element.flatMap { (name, value) -> paths(value, "$path.$name") }
    }

    private fun paths(descriptor: SerialDescriptor, path: String = ""): List<String> {
        if (descriptor.kind != StructureKind.CLASS || descriptor.isInline) return listOf(path)
        return (0 until descriptor.elementsCount).flatMap {
            paths(descriptor.getElementDescriptor(it), "$path.${descriptor.getElementName(it)}")
        }
    }
}
