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

private const val TENURE_WAIT_NANOS = LEASE_NANOS + LEASE_NANOS / 50
private const val QUIET_AFTER_START_NANOS = 2 * LEASE_NANOS + LEASE_NANOS / 16

/** Checks the lease, the tenure and the answers to heartbeats of the VM `a`; the peers answer as each test says. */
class MembershipTest {
    private val none = ManifestRevision(0)
    private val membership = Membership(VmId("a"), LEASE_NANOS, LEASE_NANOS / 10, startedAt = 0)

    /** Sends the heartbeats due at [now] and answers them on behalf of [peers] with [revision]. */
    private fun sendHeartbeats(now: Long, revision: Long, vararg peers: String) {
        membership.tick(now).forEach { answer(it, now, revision, *peers) }
    }

    private fun adopt(list: VmList, now: Long, answered: Long, vararg peers: String) {
        membership.adopt(list, now).forEach { answer(it, now, answered, *peers) }
    }

    private fun answer(envelope: Envelope, now: Long, revision: Long, vararg peers: String) {
        val heartbeat = envelope.message as? Heartbeat ?: return
        if (envelope.to.value !in peers) return
        membership.receive(envelope.to, HeartbeatAck(heartbeat.sequence, ListRevision(revision), none), none, now)
    }

    private fun sendHeartbeatsUntil(from: Long, until: Long, revision: Long, vararg peers: String) {
        for (now in from..until step LEASE_NANOS / 10) sendHeartbeats(now, revision, *peers)
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
        fun `is held while a majority of the list answers`(list: String, answering: String, held: Boolean) {
            adopt(vmList(1, *list.split(",").toTypedArray()), 0, 1, *answering.split(",").toTypedArray())
            expectThat(membership.leaseHeld(1)).isEqualTo(held)
        }

        @ParameterizedTest
        @CsvSource("0, true", "999, true", "1000, false", "60000, false")
        fun `expires one lease time after the heartbeat was sent`(millis: Long, held: Boolean) {
            adopt(vmList(1, "a", "b"), 0, 1, "b")
            expectThat(membership.leaseHeld(millis * NANOS_PER_MILLI)).isEqualTo(held)
        }

        @ParameterizedTest
        @CsvSource("1, true", "2, false")
        fun `counts only answers with the same revision and ends on a higher one`(answered: Long, held: Boolean) {
            adopt(vmList(1, "a", "b", "c"), 0, 1, "b")
            sendHeartbeats(LEASE_NANOS / 10, answered, "c")
            expectThat(membership.leaseHeld(LEASE_NANOS / 10)).isEqualTo(held)
        }

        @Test
        fun `ignores an answer to an earlier incarnation`() {
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
        fun `begins when every other VM has answered and the wait has passed`(
            answering: String,
            millis: Long,
            tenured: Boolean,
        ) {
            val peers = answering.split(",").toTypedArray()
            adopt(vmList(1, "a", "b", "c"), 0, 1, *peers)
            sendHeartbeatsUntil(0, millis * NANOS_PER_MILLI, 1, *peers)
            membership.leaseHeld(millis * NANOS_PER_MILLI)
            expectThat(membership.tenured != null).isEqualTo(tenured)
        }

        @ParameterizedTest
        @CsvSource(
            "2, 'a,b,c,d', 1",
            "2, 'a,b',     1",
            "3, 'a,b,c',   ",
            "2, 'b,c',     ",
        )
        fun `continues under the next revision if it holds this VM`(revision: Long, names: String, tenured: Long?) {
            adopt(vmList(1, "a", "b", "c"), 0, 1, "b", "c")
            sendHeartbeatsUntil(0, TENURE_WAIT_NANOS, 1, "b", "c")
            membership.adopt(vmList(revision, *names.split(",").toTypedArray()), TENURE_WAIT_NANOS)
            expectThat(membership.tenured?.revision?.value).isEqualTo(tenured)
        }

        @ParameterizedTest
        @CsvSource("1900, 1", "2300, ")
        fun `breaks when the lease was lost for longer than the lease time`(backAfter: Long, tenured: Long?) {
            adopt(vmList(1, "a", "b"), 0, 1, "b")
            sendHeartbeatsUntil(0, 2 * LEASE_NANOS, 1, "b")
            sendHeartbeats(2 * LEASE_NANOS + backAfter * NANOS_PER_MILLI, 1, "b")
            expectThat(membership.tenured?.revision?.value).isEqualTo(tenured)
        }

        @Test
        fun `roles follow the tenured list`() {
            adopt(vmList(1, "a"), 0, 1)
            expectThat(membership.roleFor(server, TENURE_WAIT_NANOS - 1)).isEqualTo(Role.None)
            expectThat(membership.roleFor(server, TENURE_WAIT_NANOS)).isEqualTo(Role.Owner)
        }

        @Test
        fun `a long pause ends both lease and tenure`() {
            adopt(vmList(1, "a", "b"), 0, 1, "b")
            sendHeartbeatsUntil(0, 2 * LEASE_NANOS, 1, "b")
            expectThat(membership.leaseHeld(20 * LEASE_NANOS)).isFalse()
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
        fun `answers listed senders only and offers the newer list`(from: String, revision: Long, sent: String) {
            membership.adopt(vmList(2, "a", "b"), 0)
            expectThat(answers(from, revision, QUIET_AFTER_START_NANOS).joinToString()).isEqualTo(sent)
        }

        @Test
        fun `a restarted process does not answer for two lease times`() {
            membership.adopt(vmList(1, "a", "b"), 0)
            expectThat(answers("b", 1, QUIET_AFTER_START_NANOS - 1)).isEmpty()
            expectThat(answers("b", 1, QUIET_AFTER_START_NANOS)).containsExactly("HeartbeatAck")
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
