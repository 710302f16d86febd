package io.apricotslip.serving.member

import io.apricotslip.api.id.VmId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo

class MembersTest {
    private val a = VmId("10.0.0.1")
    private val b = VmId("10.0.0.2")
    private val c = VmId("10.0.0.3")

    @Test
    fun `links go to seeds, to nodes that sent a message and to nodes that peers reported`() {
        val members = Members(c, seeds = listOf(a, c))
        members.recordKnownPeers(listOf(b, c), now = 0)
        expectThat(members.linkTargets(0)).containsExactlyInAnyOrder(a, b)
        expectThat(members.silentSeeds(0)).containsExactlyInAnyOrder(a)
        members.recordMessage(a, now = 0)
        expectThat(members.silentSeeds(100)).isEqualTo(emptyList())
        expectThat(members.linkTargets(20_000)).containsExactlyInAnyOrder(a)
    }

    @Test
    fun `a node that hears less than half of the nodes considers itself cut off`() {
        val members = Members(c, seeds = listOf(a, b))
        members.recordMessage(a, 0)
        members.recordMessage(b, 0)
        expectThat(members.hearsAtLeastHalf(1_000)).isEqualTo(true)
        expectThat(members.hearsAtLeastHalf(2_000)).isEqualTo(false)
    }

    @Test
    fun `all nodes count as freshly started only when each is live and started recently`() {
        val members = Members(c, seeds = listOf(a, b))
        members.recordMessage(a, 900)
        members.recordUptime(a, upMillis = 800, now = 900)
        expectThat(members.allFreshlyStarted(1_000)).isEqualTo(false)
        members.recordMessage(b, 900)
        members.recordUptime(b, upMillis = 60_000, now = 900)
        expectThat(members.allFreshlyStarted(1_000)).isEqualTo(false)
        members.recordUptime(b, upMillis = 700, now = 900)
        expectThat(members.allFreshlyStarted(1_000)).isEqualTo(true)
        expectThat(members.allFreshlyStarted(6_000)).isEqualTo(false)
    }
}
