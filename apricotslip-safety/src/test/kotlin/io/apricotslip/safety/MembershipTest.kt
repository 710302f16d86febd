package io.apricotslip.safety

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.SafetyMessage.Heartbeat
import io.apricotslip.api.peer.SafetyMessage.HeartbeatAck
import io.apricotslip.api.peer.SafetyMessage.ListOffer
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

private const val TENURE = LEASE + LEASE / 50
private const val QUIET = 2 * LEASE + LEASE / 16

class MembershipTest {
    private val none = ManifestRevision(0)
    private val membership = Membership(VmId("a"), LEASE, LEASE / 10, startedAt = 0)

    /** Answers the heartbeats that are due at [now] in the name of [peers]. */
    private fun beat(now: Long, revision: Long, vararg peers: String) {
        membership.tick(now).forEach { answer(it, now, revision, *peers) }
    }

    private fun adopt(list: VmList, now: Long, answered: Long, vararg peers: String) {
        membership.adopt(list, now).forEach { answer(it, now, answered, *peers) }
    }

    private fun answer(envelope: Envelope, now: Long, revision: Long, vararg peers: String) {
        val beat = envelope.message as? Heartbeat ?: return
        if (envelope.to.value !in peers) return
        membership.receive(envelope.to, HeartbeatAck(beat.sequence, ListRevision(revision), none), none, now)
    }

    private fun beatUntil(from: Long, until: Long, revision: Long, vararg peers: String) {
        for (now in from..until step LEASE / 10) beat(now, revision, *peers)
    }

    @Nested
    inner class `lease` {
        @ParameterizedTest
        @CsvSource(
            "a,            '',    true",
            "'a,b',        '',    false",
            "'a,b',        'b',   true",
            "'a,b,c',      'b',   true",
            "'a,b,c,d',    'b',   false",
            "'a,b,c,d',    'b,c', true",
            "'a,b,c,d,e',  'b,c', true",
            "'b,c',        'b,c', false",
        )
        fun `a majority of the list holds it`(list: String, answering: String, held: Boolean) {
            adopt(vmList(1, *list.split(",").toTypedArray()), 0, 1, *answering.split(",").toTypedArray())
            expectThat(membership.leaseHeld(1)).isEqualTo(held)
        }

        @ParameterizedTest
        @CsvSource("0, true", "999, true", "1000, false", "60000, false")
        fun `it counts from the sending of the heartbeat`(millis: Long, held: Boolean) {
            adopt(vmList(1, "a", "b"), 0, 1, "b")
            expectThat(membership.leaseHeld(millis * MILLI)).isEqualTo(held)
        }

        @ParameterizedTest
        @CsvSource("1, true", "2, false")
        fun `only answers with the own revision count, and a higher one ends it`(answered: Long, held: Boolean) {
            adopt(vmList(1, "a", "b", "c"), 0, 1, "b")
            beat(LEASE / 10, answered, "c")
            expectThat(membership.leaseHeld(LEASE / 10)).isEqualTo(held)
        }

        @Test
        fun `an answer to a former life does not count`() {
            membership.adopt(vmList(1, "a", "b"), 0)
            membership.receive(VmId("b"), HeartbeatAck(77, ListRevision(1), none), none, 1)
            expectThat(membership.leaseHeld(1)).isFalse()
        }
    }

    @Nested
    inner class `tenure` {
        private val server = BackendServerId("e")

        @ParameterizedTest
        @CsvSource("'b,c', 1020, true", "'b,c', 1019, false", "'b', 5000, false")
        fun `it needs every other VM and the lease time`(answering: String, millis: Long, tenured: Boolean) {
            val peers = answering.split(",").toTypedArray()
            adopt(vmList(1, "a", "b", "c"), 0, 1, *peers)
            beatUntil(0, millis * MILLI, 1, *peers)
            membership.leaseHeld(millis * MILLI)
            expectThat(membership.tenured != null).isEqualTo(tenured)
        }

        @ParameterizedTest
        @CsvSource(
            "2, 'a,b,c,d', 1",
            "2, 'a,b',     1",
            "3, 'a,b,c',   ",
            "2, 'b,c',     ",
        )
        fun `roles stay with the next list that holds this VM`(revision: Long, names: String, tenured: Long?) {
            adopt(vmList(1, "a", "b", "c"), 0, 1, "b", "c")
            beatUntil(0, TENURE, 1, "b", "c")
            membership.adopt(vmList(revision, *names.split(",").toTypedArray()), TENURE)
            expectThat(membership.tenured?.revision?.value).isEqualTo(tenured)
        }

        @ParameterizedTest
        @CsvSource("1900, 1", "2300, ")
        fun `it breaks when the lease was lost for longer than its time`(backAfter: Long, tenured: Long?) {
            adopt(vmList(1, "a", "b"), 0, 1, "b")
            beatUntil(0, 2 * LEASE, 1, "b")
            beat(2 * LEASE + backAfter * MILLI, 1, "b")
            expectThat(membership.tenured?.revision?.value).isEqualTo(tenured)
        }

        @Test
        fun `ranks follow the tenured list`() {
            adopt(vmList(1, "a"), 0, 1)
            expectThat(membership.roleFor(server, TENURE - 1)).isEqualTo(Role.None)
            expectThat(membership.roleFor(server, TENURE)).isEqualTo(Role.Owner)
        }

        @Test
        fun `a pause leaves neither lease nor tenure`() {
            adopt(vmList(1, "a", "b"), 0, 1, "b")
            beatUntil(0, 2 * LEASE, 1, "b")
            expectThat(membership.leaseHeld(20 * LEASE)).isFalse()
            expectThat(membership.tenured).isNull()
        }
    }

    @Nested
    inner class `answers to heartbeats` {
        private fun answers(from: String, revision: Long, now: Long): List<String> = membership
            .receive(VmId(from), Heartbeat(5, ListRevision(revision), none), none, now)
            .map { it.message::class.simpleName!! }

        @ParameterizedTest
        @CsvSource("b, 2, HeartbeatAck", "b, 3, HeartbeatAck", "z, 2, ''", "z, 1, ListOffer")
        fun `only listed senders are answered, and older lists replaced`(from: String, revision: Long, sent: String) {
            membership.adopt(vmList(2, "a", "b"), 0)
            expectThat(answers(from, revision, QUIET).joinToString()).isEqualTo(sent)
        }

        @Test
        fun `a fresh process stays quiet for two lease times`() {
            membership.adopt(vmList(1, "a", "b"), 0)
            expectThat(answers("b", 1, QUIET - 1)).isEmpty()
            expectThat(answers("b", 1, QUIET)).containsExactly("HeartbeatAck")
        }

        @Test
        fun `an offered list is adopted only when it is newer`() {
            membership.adopt(vmList(2, "a", "b"), 0)
            membership.receive(VmId("b"), ListOffer(vmList(1, "a")), none, 1)
            expectThat(membership.list.revision).isEqualTo(ListRevision(2))
            membership.receive(VmId("b"), ListOffer(vmList(3, "a", "c")), none, 1)
            expectThat(membership.list.revision).isEqualTo(ListRevision(3))
            expectThat(membership.list[VmId("c")] != null).isTrue()
        }
    }
}
