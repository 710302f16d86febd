package io.apricotslip.bench.load

import io.apricotslip.api.work.WorkClass
import io.apricotslip.bench.decide.Zipf
import kotlin.math.ln
import kotlin.random.Random

/** One request of a plan; [atNanos] counts from the start of the run. */
internal data class PlannedRequest(val number: Int, val atNanos: Long, val adapter: String, val workClass: WorkClass)

/** All requests of a run, drawn before it: open loop, so that a slow answer delays no later request. */
internal object LoadPlan {
    private const val NANOS_PER_SECOND = 1e9

    fun draw(options: LoadOptions): List<PlannedRequest> {
        val random = Random(options.seed)
        val popularity = Zipf(options.adapters.size, options.exponent)
        val end = options.seconds * NANOS_PER_SECOND
        var at = 0.0
        return generateSequence(0) { it + 1 }
            .map { number ->
                at += -ln(1 - random.nextDouble()) / options.rate * NANOS_PER_SECOND
                PlannedRequest(
                    number = number,
                    atNanos = at.toLong(),
                    adapter = options.adapters[popularity.draw(random)],
                    workClass = draw(options.shares, random),
                )
            }.takeWhile { it.atNanos < end }
            .toList()
    }

    private fun draw(shares: Map<WorkClass, Double>, random: Random): WorkClass {
        var left = random.nextDouble() * shares.values.sum()
        return shares.entries.firstOrNull { (_, share) ->
            left -= share
            left < 0
        }?.key ?: shares.keys.last()
    }
}
