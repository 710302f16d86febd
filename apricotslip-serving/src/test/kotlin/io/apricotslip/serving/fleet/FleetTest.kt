package io.apricotslip.serving.fleet

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.Examples.adapter
import io.apricotslip.serving.Examples.entry
import io.apricotslip.serving.Examples.service
import io.apricotslip.serving.published.StorePosition
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class FleetTest {
    private val fleet = Fleet()
    private val id = BackendServerId("e1")

    private fun at(revision: Long, era: Long = 0) = StorePosition(era, revision)

    @Test
    fun `a leaving server gets no new work`() {
        fleet.applyEntry(entry("e1"), at(1), now = 0)
        expectThat(fleet.applyEntry(entry("e1", leaving = true), at(2), 10)).isEqualTo(Fleet.Change.LEAVING)
        expectThat(fleet.usable(service, 10)).isEmpty()
    }

    @Test
    fun `an entry of an older revision is ignored`() {
        fleet.applyEntry(entry("e1", leaving = true), at(5), now = 0)
        expectThat(fleet.applyEntry(entry("e1"), at(4), 10)).isEqualTo(Fleet.Change.STALE)
        expectThat(fleet.usable(service, 10)).isEmpty()
    }

    @Test
    fun `a new incarnation under a known id starts without the state of the old one`() {
        fleet.applyEntry(entry("e1", listOf("a")), at(1), now = 0)
        fleet[id]?.localUtilization = ServerUtilization(3, 100, 200)
        expectThat(fleet.applyEntry(entry("e1", startedAtMillis = 2), at(2), 10)).isEqualTo(Fleet.Change.NEW_LIFE)
        expectThat(fleet[id]?.localUtilization).isEqualTo(ServerUtilization())
        expectThat(fleet[id]?.recentlyHeld(adapter("a"))).isEqualTo(false)
    }

    @Test
    fun `a server is removed at once while the store is available`() {
        fleet.applyEntry(entry("e1"), at(1), 0)
        expectThat(fleet.applyRemoval(id, at(2), 10)).isTrue()
        expectThat(fleet[id]).isNull()
    }

    @Test
    fun `an entry that lapses in a store outage is kept until it had time to return`() {
        fleet.applyEntry(entry("e1"), at(1), 0)
        fleet.applyEntry(entry("e2"), at(1), 0)
        fleet.onStoreUnavailable()
        fleet.onStoreAvailable(1_000)
        expectThat(fleet.applyRemoval(id, at(2), 1_100)).isFalse()
        expectThat(fleet.applyRemoval(BackendServerId("e2"), at(3), 1_100)).isFalse()
        expectThat(fleet.removeLapsed(3_400)).isEmpty()
        fleet.applyEntry(entry("e2"), at(4), 3_000)
        expectThat(fleet.removeLapsed(3_500)).containsExactly(id)
        expectThat(fleet.all).hasSize(1)
    }

    @Test
    fun `an unreachable server is in backoff for a growing time and becomes usable again`() {
        fleet.applyEntry(entry("e1"), at(1), 0)
        val health = checkNotNull(fleet[id]).health
        health.recordUnreachable(0)
        expectThat(fleet.usable(service, 299)).isEmpty()
        expectThat(fleet.usable(service, 300)).hasSize(1)
        health.recordUnreachable(300)
        expectThat(fleet.usable(service, 899)).isEmpty()
        expectThat(fleet.usable(service, 900)).hasSize(1)
    }

    @Test
    fun `the limit that a server named ends with its incarnation and outlives its entries`() {
        fleet.applyEntry(entry("e1"), at(1), 0)
        checkNotNull(fleet[id]).requestLimit.recordStatement(2.0, 10, 10)
        fleet.applyEntry(entry("e1"), at(2), 20)
        expectThat(checkNotNull(fleet[id]).requestLimit.perSecond).isEqualTo(2.0)
        fleet.applyEntry(entry("e1", startedAtMillis = 2), at(3), 30)
        expectThat(checkNotNull(fleet[id]).requestLimit.perSecond).isNull()
    }
}
