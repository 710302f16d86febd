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

/** Guards the token buffer of a request: a lost link must not lose, repeat or reorder tokens. */
class OwnerCallTest {
    private val adapter = checkNotNull(AdapterVersion.parse("club-1@v1"))

    private fun call() = OwnerCall(RequestId("r"), adapter, VmId("vm-1"), startMessage = null, work = null, span = null)

    private fun token(offset: Int) = EngineEvent.Token(offset, "t$offset", adapter)

    private fun OwnerCall.appendAll(tokens: IntProgression) = apply { tokens.forEach { append(token(it)) } }

    @Nested
    inner class `given tokens that were sent` {
        @Test
        fun `credited tokens are dropped and the remaining ones can be sent again`() {
            val call = call().appendAll(0..5).apply { sentUpTo = 6 }
            call.credit(2)
            call.rewind(3)
            expectThat(call.unsent().map { it.offset }).containsExactly(3, 4, 5)
        }

        @Test
        fun `a rewind does not go back before the credited tokens`() {
            val call = call().appendAll(0..5).apply { sentUpTo = 6 }
            call.credit(4)
            call.rewind(0)
            expectThat(call.unsent().map { it.offset }).containsExactly(4, 5)
        }

        @Test
        fun `credit beyond the buffered tokens frees only the buffered ones`() {
            expectThat(call().appendAll(0..2).credit(9)).isEqualTo(3)
        }
    }

    @Nested
    inner class `given a stream that is taken over` {
        @Test
        fun `tokens continue at the offset that the entry VM requested`() {
            val call = call().apply { takeOverAt(3) }.appendAll(3..4)
            expectThat(call.unsent().map { it.offset }).containsExactly(3, 4)
        }

        @Test
        fun `repeated tokens and tokens after a gap are not buffered`() {
            val call = call().apply { takeOverAt(3) }
            expectThat(call.append(token(2))).isFalse()
            expectThat(call.append(token(4))).isFalse()
        }
    }

    @Property(seed = "11")
    fun `after any sequence of credits and rewinds, the unsent tokens are in order and without a gap`(
        @ForAll @Size(max = 30) steps: List<Int>,
    ) {
        val call = call().appendAll(0..20)
        steps.forEachIndexed { i, step -> if (i % 2 == 0) call.credit(step) else call.rewind(step) }
        val offsets = call.unsent().map { it.offset }
        expectThat(offsets).isEqualTo((call.sentUpTo..20).toList())
    }
}
