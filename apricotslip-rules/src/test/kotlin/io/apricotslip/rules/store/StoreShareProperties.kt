package io.apricotslip.rules.store

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Several VMs that ask, lend, lose messages and die: together they never take more than the store's rate for long. */
class StoreShareProperties {
    private val rate = 5.5
    private val burst = 2
    private val vms = 7

    @Property(tries = 100)
    fun allSharesTogetherKeepToTheRateAndTheBurst(@ForAll @LongRange(min = 0, max = 1_000_000) seed: Long) {
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
            val ask = shares[vm].nextLoanRequest(now) ?: continue
            val lent = shares.filterIndexed { i, _ -> i != vm && alive[i] }.sumOf { it.lend(ask, now) }
            if (random.nextInt(4) != 0) shares[vm].receiveLoan(lent, now)
        }
        val seconds = steps / 100.0
        expectThat(
            taken.toDouble(),
        ).isLessThanOrEqualTo(rate * seconds + burst + vms * StoreShareOptions().savedForDemand)
    }
}
