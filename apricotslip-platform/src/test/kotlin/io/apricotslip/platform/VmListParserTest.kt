package io.apricotslip.platform

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure

class VmListParserTest {
    private fun vm(id: String = "a", address: String = "10.0.0.1", port: Int = 7000, more: String = "") =
        """{"id":"$id","zone":"z1","address":"$address","port":$port$more}"""

    private fun list(vararg vms: String) = """{"revision":4,"vms":[${vms.joinToString()}]}"""

    @Test
    fun `a list is parsed and unknown fields are ignored`() {
        val parsed = VmListParser.parse(list(vm("a", more = ""","state":"leaving","rack":7"""), vm("b", "::1")))
        expectThat(parsed.revision.value).isEqualTo(4)
        expectThat(parsed.live().map { it.id.value }).isEqualTo(listOf("b"))
    }

    @TestFactory
    fun `an invalid list is rejected`() = listOf(
        "empty text" to "",
        "not JSON" to "<html>",
        "truncated" to list(vm()).dropLast(3),
        "no revision" to """{"vms":[]}""",
        "revision that is not a number" to """{"revision":"x","vms":[]}""",
        "a VM twice" to list(vm(), vm()),
        "an empty name" to list(vm(id = "")),
        "a host name" to list(vm(address = "node-1")),
        "port 0" to list(vm(port = 0)),
        "port too high" to list(vm(port = 65_536)),
        "weight 0" to list(vm(more = ""","weight":0""")),
        "an unknown state" to list(vm(more = ""","state":"gone"""")),
    ).map { (name, text) ->
        DynamicTest.dynamicTest(name) {
            expectCatching { VmListParser.parse(text) }.isFailure().isA<IllegalArgumentException>()
        }
    }

    @Property(seed = "4", tries = 500)
    fun `any text is either parsed or rejected`(@ForAll text: String) {
        try {
            VmListParser.parse(text)
        } catch (e: IllegalArgumentException) {
            expectThat(e).isA<IllegalArgumentException>()
        }
    }
}
