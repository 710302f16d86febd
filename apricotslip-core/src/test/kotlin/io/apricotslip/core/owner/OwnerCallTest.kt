package io.apricotslip.core.owner

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.backends.engine.EngineEvent
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class OwnerCallTest {
    private val adapter = checkNotNull(AdapterVersion.parse("club-1@v1"))

    private fun call() = OwnerCall(RequestId("r"), adapter, VmId("vm-1"), start = null, work = null, span = null)

    private fun token(offset: Int) = EngineEvent.Token(offset, "t$offset", adapter)

    private fun OwnerCall.keepAll(tokens: IntProgression) = apply { tokens.forEach { keep(token(it)) } }

    @Nested
    inner class `given tokens that were sent` {
        @Test
        fun `the credited ones are forgotten and the rest can be sent again`() {
            val call = call().keepAll(0..5).apply { sentUpTo = 6 }
            call.credit(2)
            call.rewind(3)
            expectThat(call.unsent().map { it.offset }).containsExactly(3, 4, 5)
        }

        @Test
        fun `a rewind never goes before the credited ones`() {
            val call = call().keepAll(0..5).apply { sentUpTo = 6 }
            call.credit(4)
            call.rewind(0)
            expectThat(call.unsent().map { it.offset }).containsExactly(4, 5)
        }

        @Test
        fun `credit beyond the tokens frees only what there is`() {
            expectThat(call().keepAll(0..2).credit(9)).isEqualTo(3)
        }
    }

    @Nested
    inner class `given a stream that is taken over` {
        @Test
        fun `it goes on at the offset of the entry VM`() {
            val call = call().apply { attachAt(3) }.keepAll(3..4)
            expectThat(call.unsent().map { it.offset }).containsExactly(3, 4)
        }

        @Test
        fun `repeats and gaps are not kept`() {
            val call = call().apply { attachAt(3) }
            expectThat(call.keep(token(2))).isFalse()
            expectThat(call.keep(token(4))).isFalse()
        }
    }

    @Property(seed = "11")
    fun `whatever a peer credits and asks again, unsent tokens are in order and without a gap`(
        @ForAll @Size(max = 30) steps: List<Int>,
    ) {
        val call = call().keepAll(0..20)
        steps.forEachIndexed { i, step -> if (i % 2 == 0) call.credit(step) else call.rewind(step) }
        val offsets = call.unsent().map { it.offset }
        expectThat(offsets).isEqualTo((call.sentUpTo..20).toList())
    }
}
