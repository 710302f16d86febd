package io.apricotslip.safety

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.manifest.WhenFull
import io.apricotslip.api.peer.SafetyMessage.EvictAnswer
import io.apricotslip.api.peer.SafetyMessage.EvictAsk
import io.apricotslip.api.peer.SafetyMessage.EvictDone
import io.apricotslip.api.peer.SafetyMessage.Heartbeat
import io.apricotslip.api.peer.SafetyMessage.HeartbeatAck
import io.apricotslip.api.peer.SafetyMessage.Pass
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Checks [EvictGuard] on the VM `a`, tenured on a list of three, with one engine for each of its roles. */
class EvictGuardTest {
    private val none = ManifestRevision(0)
    private val adapter = AdapterVersion.parse("club@v1")!!
    private val list = vmList(1, "a", "b", "c")
    private val membership = Membership(VmId("a"), LEASE_NANOS, LEASE_NANOS / 10, startedAt = 0)
    private val guard = EvictGuard(VmId("a"), membership, Incarnation(1))
    private val now = 2 * LEASE_NANOS
    private val owned = engineWith(rank = 0)
    private val standby = engineWith(rank = 1)
    private val notRanked = engineWith(rank = 2)

    init {
        val sent = ArrayDeque(membership.adopt(list, 0))
        for (time in 0..now step LEASE_NANOS / 10) {
            sent += membership.tick(time)
            while (sent.isNotEmpty()) ack(sent.removeFirst(), time)
        }
    }

    private fun engineWith(rank: Int): BackendServerId = generateSequence(1) { it + 1 }
        .map { BackendServerId("e$it") }
        .first { OwnershipRanking.rank(it, list.vms).indexOf(VmId("a")) == rank }

    private fun ack(envelope: Envelope, time: Long) {
        val heartbeat = envelope.message as Heartbeat
        membership.receive(envelope.to, HeartbeatAck(heartbeat.sequence, list.revision, none), none, time)
    }

    private fun idleReport() {
        guard.reportReceived(owned, Incarnation(9), 1, emptyMap())
        val handle = guard.recordOrder(owned)
        guard.orderAcknowledged(handle, 5)
        guard.reportReceived(owned, Incarnation(9), 5, emptyMap())
    }

    private fun EvictTicket.answer(from: String, consent: Boolean = true, incarnation: Long = 1, at: Long = now) =
        guard.receive(
            VmId(from),
            EvictAnswer(server, adapter, requestNumber, list.revision, consent, Incarnation(incarnation)),
            at,
        )

    private fun readyTicket(): EvictTicket {
        val ticket = guard.requestEvictConsent(owned, adapter, now).ticket
        listOf("b", "c").forEach { ticket.answer(it) }
        idleReport()
        return ticket
    }

    private fun verdict(ticket: EvictTicket, at: Long = now): String = guard.verdict(ticket, at)::class.simpleName!!

    @Nested
    inner class `a request or load may start` {
        @ParameterizedTest
        @CsvSource("0, 0, true", "1, 0, true", "2, 0, false", "0, 1000, false")
        fun `on owner and standby while the lease is held`(rank: Int, later: Long, allowed: Boolean) {
            val server = listOf(owned, standby, notRanked)[rank]
            expectThat(guard.mayStart(server, adapter, now + later * NANOS_PER_MILLI)).isEqualTo(allowed)
        }

        @ParameterizedTest
        @CsvSource("REFUSES, 0, true", "REFUSES, 1, true", "REFUSES, 2, false", "EVICTS, 0, false")
        fun `as a load only where it cannot evict`(whenFull: WhenFull, rank: Int, allowed: Boolean) {
            expectThat(guard.mayLoad(listOf(owned, standby, notRanked)[rank], whenFull, now)).isEqualTo(allowed)
        }

        @ParameterizedTest
        @CsvSource("7, true", "8, true", "6, false")
        fun `again after the consent is closed with its number or a later one`(done: Long, allowed: Boolean) {
            guard.receive(VmId("b"), EvictAsk(standby, adapter, 7, list.revision), now)
            expectThat(guard.mayStart(standby, adapter, now)).isFalse()
            guard.receive(VmId("b"), EvictDone(standby, adapter, done), now)
            expectThat(guard.mayStart(standby, adapter, now)).isEqualTo(allowed)
        }
    }

    @Nested
    inner class `a consent request` {
        @ParameterizedTest
        @CsvSource("1, false, b, true", "2, false, b, false", "1, true, b, false", "1, false, z, false")
        fun `is granted for the same list while the adapter is idle`(
            revision: Long,
            inUse: Boolean,
            from: String,
            consent: Boolean,
        ) {
            if (inUse) guard.requestStarted(standby, adapter, RequestId("r"))
            val answer = guard.receive(
                VmId(from),
                EvictAsk(standby, adapter, 1, ListRevision(revision)),
                now,
            ).single().message
            expectThat(answer).isA<EvictAnswer>().get { this.consent }.isEqualTo(consent)
        }

        @Test
        fun `is ignored if it or a later one has been closed`() {
            guard.receive(VmId("b"), EvictDone(standby, adapter, 7), now)
            expectThat(guard.receive(VmId("b"), EvictAsk(standby, adapter, 7, list.revision), now)).isEmpty()
            expectThat(guard.mayStart(standby, adapter, now)).isTrue()
        }
    }

    @Nested
    inner class `an eviction` {
        @ParameterizedTest
        @CsvSource(
            "'b,c', '',  Ready",
            "'b',   'c', Ready",
            "'b',   '',  Waiting",
            "'',    'b,c', Ready",
        )
        fun `needs a consent or a pass from every other VM`(consents: String, passes: String, verdict: String) {
            val ticket = guard.requestEvictConsent(owned, adapter, now).ticket
            consents.split(",").filter { it.isNotEmpty() }.forEach { ticket.answer(it) }
            passes.split(",").filter { it.isNotEmpty() }.forEach {
                guard.receive(VmId(it), Pass(owned, list.revision, Incarnation(1)), now)
            }
            idleReport()
            expectThat(verdict(ticket)).isEqualTo(verdict)
        }

        @ParameterizedTest
        @ValueSource(strings = ["own use", "refusal", "lease", "new list", "not owner"])
        fun `is refused`(cause: String) {
            val ticket =
                if (cause == "not owner") guard.requestEvictConsent(standby, adapter, now).ticket else readyTicket()
            if (cause == "own use") guard.requestStarted(owned, adapter, RequestId("r"))
            if (cause == "refusal") ticket.answer("b", consent = false)
            if (cause == "new list") membership.adopt(vmList(2, "a", "b", "c"), now)
            val at = if (cause == "lease") now + LEASE_NANOS else now
            expectThat(verdict(ticket, at)).isEqualTo("Refused")
        }

        @Test
        fun `waits when a consent has expired and requests a new one`() {
            val ticket = readyTicket()
            val first = ticket.requestNumber
            val later = now + LEASE_NANOS / 2
            membership.tick(later).forEach { ack(it, later) }
            val last = now + LEASE_NANOS
            membership.tick(last).forEach { ack(it, last) }
            expectThat(verdict(ticket, last)).isEqualTo("Waiting")
            guard.retryConsentRequests(last)
            expectThat(ticket.requestNumber > first).isTrue()
        }

        @ParameterizedTest
        @ValueSource(strings = ["no order", "old report", "in use", "peer restarted", "engine restarted"])
        fun `waits for evidence that the adapter is idle`(cause: String) {
            val ticket =
                if (cause == "no order") guard.requestEvictConsent(owned, adapter, now).ticket else readyTicket()
            listOf("b", "c").forEach { ticket.answer(it) }
            if (cause == "old report") {
                ticket.answer("b", incarnation = 2)
                guard.orderAcknowledged(guard.recordOrder(owned), 9)
                guard.reportReceived(owned, Incarnation(9), 8, emptyMap())
            }
            if (cause == "in use") guard.reportReceived(owned, Incarnation(9), 6, mapOf(adapter to 1))
            if (cause == "peer restarted") ticket.answer("b", incarnation = 2)
            if (cause == "engine restarted") guard.reportReceived(owned, Incarnation(10), 9, emptyMap())
            expectThat(verdict(ticket)).isEqualTo("Waiting")
        }
    }

    @Nested
    inner class `a lost answer to an eviction` {
        @ParameterizedTest
        @CsvSource("true, true", "false, false")
        fun `is resolved by a later acknowledged order only if the engine checks the fence`(
            checked: Boolean,
            free: Boolean,
        ) {
            val ticket = readyTicket()
            guard.orderSent(ticket)
            guard.markUnanswered(ticket, fenceChecked = checked)
            expectThat(guard.mayStart(owned, adapter, now)).isFalse()
            val done = guard.orderAcknowledged(guard.recordOrder(owned), 9)
            expectThat(done.any { it.message is EvictDone }).isEqualTo(free)
            expectThat(guard.mayStart(owned, adapter, now)).isEqualTo(free)
        }

        @Test
        fun `no longer blocks after a restart of the engine`() {
            val ticket = readyTicket()
            guard.orderSent(ticket)
            guard.markUnanswered(ticket, fenceChecked = false)
            expectThat(guard.engineRestarted(owned).map { it.to.value }).isEqualTo(listOf("b", "c"))
            expectThat(guard.mayStart(owned, adapter, now)).isTrue()
        }
    }

    @Test
    fun `an open consent is repeated, and closed by a requester that has no such request`() {
        guard.receive(VmId("b"), EvictAsk(standby, adapter, 7, list.revision), now)
        val repeated = guard.retryConsentRequests(now + LEASE_NANOS).single()
        expectThat(repeated.message).isA<EvictAnswer>().get { order }.isEqualTo(7)
        val reply = guard.receive(VmId("b"), EvictAnswer(owned, adapter, 7, list.revision, true, Incarnation(1)), now)
        expectThat(reply.single().message).isEqualTo(EvictDone(owned, adapter, 7))
    }

    @Test
    fun `passes are sent to the owners of engines outside the ranking, once per lease time`() {
        val engines = listOf(owned, standby, notRanked)
        val owner = OwnershipRanking.rank(notRanked, list.vms).first()
        expectThat(
            guard.passesDue(engines, now),
        ).isEqualTo(listOf(Envelope(owner, Pass(notRanked, list.revision, Incarnation(1)))))
        expectThat(guard.passesDue(engines, now)).isEmpty()
    }
}
