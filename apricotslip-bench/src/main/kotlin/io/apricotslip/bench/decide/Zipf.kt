package io.apricotslip.bench.decide

import kotlin.math.pow
import kotlin.random.Random

/** Draws ranks from 0 to [size] - 1 with probability proportional to 1 / (rank + 1)^[exponent]. */
internal class Zipf(val size: Int, val exponent: Double) {
    private val cumulative = DoubleArray(size)

    init {
        var sum = 0.0
        for (rank in 0 until size) {
            sum += (rank + 1.0).pow(-exponent)
            cumulative[rank] = sum
        }
    }

    fun draw(random: Random): Int {
        val at = cumulative.binarySearch(random.nextDouble() * cumulative.last())
        return if (at >= 0) at else minOf(-at - 1, size - 1)
    }

    /** Probability that a draw is among the first [ranks] ranks. */
    fun mass(ranks: Int): Double = if (ranks <= 0) 0.0 else cumulative[minOf(ranks, size) - 1] / cumulative.last()
}
