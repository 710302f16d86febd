package io.apricotslip.serving.fleet

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.Examples.entry
import io.apricotslip.serving.Examples.service
import io.apricotslip.serving.published.StorePosition
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** The servers of a node when the store comes back from a copy, which was made at revision 50 and lacks 51 to 100. */
class RestoredFleetTest {
    private val fleet = Fleet()
    private val e1 = BackendServerId("e1")
    private val e2 = BackendServerId("e2")

    private fun before(revision: Long) = StorePosition(era = 0, revision)

    private fun after(revision: Long) = StorePosition(era = 1, revision)

    @BeforeEach
    fun servers() {
        fleet.applyEntry(entry("e1", sequence = 4), before(40), now = 0)
        fleet.applyEntry(entry("e2", sequence = 4), before(41), now = 0)
        fleet.applyEntry(entry("e1", sequence = 9), before(90), now = 100)
    }

    private fun usable() = fleet.usable(service, 0).map { it.id }

    @Test
    fun `a server that announces its end at a lower revision of the new era gets no new work`() {
        fleet.onStoreRestored(1_000)
        val change = fleet.applyEntry(entry("e1", sequence = 12, leaving = true), after(60), 2_000)
        expectThat(change).isEqualTo(Fleet.Change.LEAVING)
        expectThat(usable()).containsExactly(e2)
    }

    @Test
    fun `a server that was seen to leave does not come back with its old entry`() {
        fleet.applyEntry(entry("e1", sequence = 10, leaving = true), before(95), 200)
        fleet.onStoreRestored(1_000)
        expectThat(fleet.applyEntry(entry("e1", sequence = 4), after(40), 1_000)).isEqualTo(Fleet.Change.STALE)
        expectThat(usable()).containsExactly(e2)
    }

    @Test
    fun `a removed server whose old entry is in the copy stays away until the store removes it again`() {
        expectThat(fleet.applyRemoval(e1, before(96), 200)).isTrue()
        fleet.onStoreRestored(1_000)
        expectThat(fleet.applyEntry(entry("e1", sequence = 4), after(40), 1_000)).isEqualTo(Fleet.Change.STALE)
        fleet.applyRemoval(e1, after(70), 5_000)
        expectThat(fleet.acceptReturned(60_000)).isEmpty()
        expectThat(fleet[e1]).isNull()
    }

    @Test
    fun `a removed server whose old entry stays in the store is running and taken back`() {
        fleet.applyRemoval(e1, before(96), 200)
        fleet.onStoreRestored(1_000)
        fleet.applyEntry(entry("e1", sequence = 9), after(40), 1_000)
        fleet.applyEntry(entry("e1", sequence = 9), after(40), 3_000)
        expectThat(fleet.acceptReturned(6_900)).isEmpty()
        expectThat(fleet.acceptReturned(7_000)).containsExactly(e1)
        expectThat(fleet[e1]).isNotNull()
    }

    @Test
    fun `a removed server that writes again is taken back at once`() {
        fleet.applyRemoval(e1, before(96), 200)
        fleet.onStoreRestored(1_000)
        expectThat(fleet.applyEntry(entry("e1", sequence = 14), after(52), 1_500)).isEqualTo(Fleet.Change.NEW_LIFE)
    }

    @Test
    fun `a server that the copy lacks is kept until it had time to register again`() {
        fleet.applyEntry(entry("e3", sequence = 1), before(92), 200)
        fleet.onStoreRestored(1_000)
        expectThat(fleet.applyListing(setOf(e1, e2), after(50), 1_000)).isEmpty()
        expectThat(fleet.removeLapsed(3_400)).isEmpty()
        fleet.applyEntry(entry("e3", sequence = 3), after(55), 3_000)
        expectThat(fleet.removeLapsed(3_500)).isEmpty()
        expectThat(usable()).containsExactlyInAnyOrder(e1, e2, BackendServerId("e3"))
    }

    @Test
    fun `a server that the copy lacks and that does not register again is gone`() {
        fleet.applyEntry(entry("e3", sequence = 1), before(92), 200)
        fleet.onStoreRestored(1_000)
        fleet.applyListing(setOf(e1, e2), after(50), 1_000)
        expectThat(fleet.removeLapsed(3_500)).containsExactly(BackendServerId("e3"))
    }

    @Test
    fun `a server that lapsed in the outage and is in the copy is kept`() {
        fleet.onStoreUnavailable()
        expectThat(fleet.applyRemoval(e1, before(97), 500)).isFalse()
        fleet.onStoreRestored(1_000)
        fleet.applyEntry(entry("e1", sequence = 4), after(40), 1_000)
        fleet.onStoreAvailable(1_000)
        expectThat(fleet.removeLapsed(9_000)).isEmpty()
        expectThat(fleet[e1]).isNotNull()
    }

    @Test
    fun `a removal in the new era counts at a lower revision`() {
        fleet.onStoreRestored(1_000)
        expectThat(fleet.applyRemoval(e1, after(60), 4_000)).isTrue()
    }

    @Test
    fun `an earlier incarnation in the copy does not replace the running one`() {
        fleet.applyEntry(entry("e1", startedAtMillis = 2, sequence = 1), before(98), 300)
        fleet.onStoreRestored(1_000)
        expectThat(fleet.applyEntry(entry("e1", sequence = 9), after(40), 1_000)).isEqualTo(Fleet.Change.STALE)
        expectThat(fleet[e1]?.entry?.startedAtMillis).isEqualTo(2)
    }
}
