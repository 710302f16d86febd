package io.apricotslip.bench.load

import io.apricotslip.api.work.WorkClass
import io.apricotslip.bench.decide.Zipf
import kotlin.math.ln
import kotlin.random.Random

/** One request of a plan; [atNanos] counts from the start of the run. */
internal data class PlannedRequest(val number: Int, val atNanos: Long, val adapter: String, val workClass: WorkClass)

/** Draws all requests of a run in advance: an open loop, so that a slow answer delays no later request. */
internal object LoadPlan {
    private const val NANOS_PER_SECOND = 1e9

    fun draw(options: LoadOptions): List<PlannedRequest> {
        val random = Random(options.seed)
        val popularity = Zipf(options.adapters.size, options.exponent)
        val endNanos = options.seconds * NANOS_PER_SECOND
        var arrivalNanos = 0.0
        return generateSequence(0) { it + 1 }
            .map { number ->
                arrivalNanos += -ln(1 - random.nextDouble()) / options.rate * NANOS_PER_SECOND
                PlannedRequest(
                    number = number,
                    atNanos = arrivalNanos.toLong(),
                    adapter = options.adapters[popularity.draw(random)],
                    workClass = drawClass(options.classShares, random),
                )
            }.takeWhile { it.atNanos < endNanos }
            .toList()
    }

    private fun drawClass(classShares: Map<WorkClass, Double>, random: Random): WorkClass {
        var remainingShare = random.nextDouble() * classShares.values.sum()
        return classShares.entries.firstOrNull { (_, share) ->
            remainingShare -= share
            remainingShare < 0
        }?.key ?: classShares.keys.last()
    }
}
