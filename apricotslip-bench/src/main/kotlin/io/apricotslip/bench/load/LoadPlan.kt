package io.apricotslip.bench.load

import io.apricotslip.api.work.WorkClass
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** One request of a plan; [atNanos] counts from the start of the run. */
internal data class PlannedRequest(val number: Int, val atNanos: Long, val adapter: String, val workClass: WorkClass)

/** All requests of a run, drawn before it: open loop, so that a slow answer delays no later request. */
internal object LoadPlan {
    private const val NANOS_PER_SECOND = 1e9

    fun draw(options: LoadOptions): List<PlannedRequest> {
        val random = Random(options.seed)
        val popularity = cumulative(options.adapters.size) { (it + 1.0).pow(-options.exponent) }
        val classes = options.shares.keys.toList()
        val shares = cumulative(classes.size) { options.shares.getValue(classes[it]) }
        val end = options.seconds * NANOS_PER_SECOND
        var at = 0.0
        return generateSequence(0) { it + 1 }
            .map { number ->
                at += -ln(1 - random.nextDouble()) / options.rate * NANOS_PER_SECOND
                PlannedRequest(
                    number = number,
                    atNanos = at.toLong(),
                    adapter = options.adapters[pick(popularity, random)],
                    workClass = classes[pick(shares, random)],
                )
            }.takeWhile { it.atNanos < end }
            .toList()
    }

    private fun cumulative(size: Int, weight: (Int) -> Double): DoubleArray {
        var sum = 0.0
        return DoubleArray(size) {
            sum += weight(it)
            sum
        }
    }

    private fun pick(cumulative: DoubleArray, random: Random): Int {
        val at = cumulative.binarySearch(random.nextDouble() * cumulative.last())
        return (if (at >= 0) at else -at - 1).coerceAtMost(cumulative.size - 1)
    }
}
