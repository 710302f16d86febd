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
    fun `a node follows its seeds, those it heard and those it was told of`() {
        val members = Members(c, seeds = listOf(a, c))
        members.told(listOf(b, c), now = 0)
        expectThat(members.wanted(0)).containsExactlyInAnyOrder(a, b)
        expectThat(members.silentSeeds(0)).containsExactlyInAnyOrder(a)
        members.heard(a, now = 0)
        expectThat(members.silentSeeds(100)).isEqualTo(emptyList())
        expectThat(members.wanted(20_000)).containsExactlyInAnyOrder(a)
    }

    @Test
    fun `a node that hears less than half of the nodes takes itself for the one that is cut off`() {
        val members = Members(c, seeds = listOf(a, b))
        members.heard(a, 0)
        members.heard(b, 0)
        expectThat(members.connected(1_000)).isEqualTo(true)
        expectThat(members.connected(2_000)).isEqualTo(false)
    }

    @Test
    fun `only nodes that all started lately are fresh`() {
        val members = Members(c, seeds = listOf(a, b))
        members.heard(a, 900)
        members.up(a, upMillis = 800, now = 900)
        expectThat(members.fresh(1_000)).isEqualTo(false)
        members.heard(b, 900)
        members.up(b, upMillis = 60_000, now = 900)
        expectThat(members.fresh(1_000)).isEqualTo(false)
        members.up(b, upMillis = 700, now = 900)
        expectThat(members.fresh(1_000)).isEqualTo(true)
        expectThat(members.fresh(6_000)).isEqualTo(false)
    }
}
