package io.apricotslip.rules.store

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/**
 * Simulates VMs that request and lend loads, lose messages and crash. All together never take more loads than the rate
 * and the bursts of the store allow.
 */
class StoreShareProperties {
    private val rate = 5.5
    private val burst = 2
    private val vms = 7

    @Property(tries = 100)
    fun allSharesTogetherStayWithinTheRateAndTheBurst(@ForAll @LongRange(min = 0, max = 1_000_000) seed: Long) {
        val random = Random(seed)
        val shares = List(vms) { StoreShare(rate, burst, 16, 1.0 / vms) }
        val alive = BooleanArray(vms) { true }
        var taken = 0
        val steps = 3_000
        for (step in 1..steps) {
            val now = step * 10_000_000L
            val vm = random.nextInt(vms)
            if (random.nextInt(500) == 0) alive[vm] = !alive[vm]
            if (!alive[vm]) continue
            val demand = StoreDemand(LoadUrgency.entries.random(random), now - random.nextLong(1_000) * 1_000_000)
            if (shares[vm].tryAcquire(now, demand)) {
                taken += 1
                shares[vm].onLoadEnded(now)
            }
            val request = shares[vm].nextLoanRequest(now) ?: continue
            val lent = shares.filterIndexed { i, _ -> i != vm && alive[i] }.sumOf { it.lend(request, now) }
            if (random.nextInt(4) != 0) shares[vm].receiveLoan(lent, now)
        }
        val seconds = steps / 100.0
        expectThat(
            taken.toDouble(),
        ).isLessThanOrEqualTo(rate * seconds + burst + vms * StoreShareOptions().minBurstWithDemand)
    }
}
