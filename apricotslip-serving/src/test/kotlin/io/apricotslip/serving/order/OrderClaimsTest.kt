package io.apricotslip.serving.order

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

class OrderClaimsTest {
    private val servers = List(12) { BackendServerId("s$it") }
    private val vms = listOf(VmId("10.0.0.1"), VmId("10.0.0.2"), VmId("10.0.0.3"))
    private val oneServer = servers.take(1)

    private fun node(i: Int) = OrderClaims(vms[i], nodeNumber = i + 1L, leaseMillis = 3_000, startedAt = 0)

    private fun OrderClaims.claimAt(now: Long, live: List<VmId> = listOf(vms[0]), allFreshlyStarted: Boolean = false) =
        claim(oneServer, live, allFreshlyStarted, wallSeconds = 100, now)

    @Test
    fun `a node waits for the lease after its start`() {
        val claims = node(0)
        claims.claimAt(now = 3_000)
        expectThat(claims.ownFence(oneServer[0])).isNull()
        claims.claimAt(now = 3_500)
        expectThat(claims.ownFence(oneServer[0])).isNotNull()
    }

    @Test
    fun `nodes that all started together claim after a few report intervals`() {
        val claims = node(0)
        claims.claimAt(now = 900, allFreshlyStarted = true)
        expectThat(claims.ownFence(oneServer[0])).isNull()
        claims.claimAt(now = 1_000, allFreshlyStarted = true)
        expectThat(claims.ownFence(oneServer[0])).isNotNull()
    }

    @Test
    fun `with the same view of the nodes each server has exactly one holder`() {
        val nodes = List(3) { node(it) }
        nodes.forEach { it.claim(servers, vms, allFreshlyStarted = false, wallSeconds = 100, now = 4_000) }
        expectThat(nodes.flatMap { it.heldServers() }).hasSize(servers.size)
        expectThat(nodes.flatMap { it.heldServers() }.toSet()).hasSize(servers.size)
    }

    @Test
    fun `a received claim is valid for the lease and its margin, and no longer`() {
        val claims = node(0)
        claims.onClaimReceived(oneServer[0], vms[1], FenceNumber(5), now = 4_000)
        claims.claimAt(now = 7_500)
        expectThat(claims.heldServers()).isEmpty()
        claims.claimAt(now = 7_501)
        expectThat(claims.heldServers()).hasSize(1)
    }

    @Test
    fun `the claim of a holder that others hear is valid while its link is replaced, and not forever`() {
        val claims = node(0)
        val claimAt = { now: Long, isHeardByOthersOnly: Boolean ->
            claims.claim(oneServer, listOf(vms[0]), false, wallSeconds = 100, now) { isHeardByOthersOnly }
        }
        claims.onClaimReceived(oneServer[0], vms[1], FenceNumber(5), now = 4_000)
        claimAt(13_000, true)
        expectThat(claims.heldServers()).isEmpty()
        claims.onClaimReceived(oneServer[0], vms[1], FenceNumber(5), now = 13_000)
        claimAt(22_000, true)
        expectThat(claims.heldServers()).isEmpty()
        claimAt(22_001, true)
        expectThat(claims.heldServers()).hasSize(1)
    }

    @Test
    fun `of two claims the one with the lower fence yields`() {
        val claims = node(0)
        claims.claimAt(now = 4_000)
        val mine = claims.ownFence(oneServer[0])?.value ?: 0
        expectThat(claims.onClaimReceived(oneServer[0], vms[1], FenceNumber(mine - 1), now = 4_100)).isFalse()
        expectThat(claims.onClaimReceived(oneServer[0], vms[1], FenceNumber(mine + 1), now = 4_100)).isTrue()
        expectThat(claims.ownFence(oneServer[0])).isNull()
        expectThat(claims.holder(oneServer[0])).isEqualTo(vms[1])
    }

    @Test
    fun `the fence grows with each holder even when the wall clock is behind`() {
        val claims = node(0)
        claims.onClaimReceived(oneServer[0], vms[1], FenceNumber(900L shl 24), now = 4_000)
        claims.claimAt(now = 8_000)
        expectThat(claims.ownFence(oneServer[0])?.value ?: 0).isGreaterThan(900L shl 24)
    }

    @Test
    fun `two nodes never generate the same fence`() {
        val a = node(0).apply { claimAt(now = 4_000) }
        val b = node(1).apply { claimAt(now = 4_000, live = listOf(vms[1])) }
        expectThat(a.ownFence(oneServer[0])).isNotEqualTo(b.ownFence(oneServer[0]))
    }

    @Test
    fun `a holder whose fence was refused backs off and returns with a higher fence`() {
        val claims = node(0)
        claims.claimAt(now = 4_000)
        val before = claims.ownFence(oneServer[0])?.value ?: 0
        claims.onFenceRefused(oneServer[0], now = 5_000)
        claims.claimAt(now = 9_000)
        expectThat(claims.ownFence(oneServer[0])).isNull()
        claims.claimAt(now = 10_000)
        expectThat(claims.ownFence(oneServer[0])?.value ?: 0).isGreaterThan(before)
    }
}
