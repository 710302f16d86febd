package io.apricotslip.bench.capacity

import kotlin.math.abs
import kotlin.math.sqrt

/** A [value] measured at one [size]. */
internal data class Point(val size: Double, val value: Double)

/**
 * A straight line through points.
 *
 * @property residual root mean square of the distances of the points from the line, as a part of the largest value.
 */
internal data class Line(val intercept: Double, val slope: Double, val residual: Double) {
    /** Value of the line at [size]. */
    fun at(size: Double): Double = intercept + slope * size
}

/** Fits lines by least squares. */
internal object LeastSquares {
    /** The line through [points], of which at least two differ in size. */
    fun fit(points: List<Point>): Line {
        require(points.map { it.size }.distinct().size >= 2) { "a line needs two sizes" }
        val meanSize = points.map { it.size }.average()
        val meanValue = points.map { it.value }.average()
        val spread = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
        val slope = points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
        val line = Line(meanValue - slope * meanSize, slope, 0.0)
        return line.copy(residual = residual(points, line))
    }

    private fun residual(points: List<Point>, line: Line): Double {
        val largest = points.maxOf { abs(it.value) }
        if (largest == 0.0) return 0.0
        val squares = points.map { it.value - line.at(it.size) }.map { it * it }
        return sqrt(squares.average()) / largest
    }
}
