package io.apricotslip.standins.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class ConnectionGateTest {
    private val gate = ConnectionGate()
    private val channel = EmbeddedChannel().also(gate::admit)

    private fun bytes() = Unpooled.wrappedBuffer("x".toByteArray())

    @Nested
    inner class `given a silent connection` {
        private val silenced = gate.silence()

        @Test
        fun `inbound data is discarded`() {
            channel.writeInbound(bytes())
            expectThat(channel.readInbound<Any>()).isNull()
        }

        @Test
        fun `outbound data is discarded, and the write is never completed`() {
            val written = channel.writeAndFlush(bytes())
            expectThat(channel.readOutbound<Any>()).isNull()
            expectThat(written.isDone).isFalse()
        }

        @Test
        fun `a close is ignored, but closing all connections closes it`() {
            channel.close()
            expectThat(channel.isOpen).isTrue()
            gate.closeAll()
            expectThat(channel.isOpen).isFalse()
        }

        @Test
        fun `it is counted once, and later connections work`() {
            val later = EmbeddedChannel().also(gate::admit)
            expectThat(silenced).isEqualTo(1)
            later.writeInbound(bytes())
            expectThat(later.inboundMessages().size).isEqualTo(1)
            expectThat(gate.silence()).isEqualTo(1)
        }
    }
}
