package io.apricotslip.bench.capacity

import kotlin.math.abs
import kotlin.math.sqrt

/** A [value] measured at a [size]. */
internal data class Point(val size: Double, val value: Double)

/**
 * A straight line fitted to points.
 *
 * @property residual root mean square error of the line, as a fraction of the largest absolute value.
 */
internal data class Line(val intercept: Double, val slope: Double, val residual: Double) {
    /** Value of the line at [size]. */
    fun valueAt(size: Double): Double = intercept + slope * size
}

/** Fits lines by least squares. */
internal object LeastSquares {
    /** Fits a line to [points]. Throws [IllegalArgumentException] unless at least two of them differ in size. */
    fun fit(points: List<Point>): Line {
        require(points.map { it.size }.distinct().size >= 2) { "fitting a line needs points of at least two sizes" }
        val meanSize = points.map { it.size }.average()
        val meanValue = points.map { it.value }.average()
        val sizeDeviations = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
        val slope = points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / sizeDeviations
        val line = Line(meanValue - slope * meanSize, slope, 0.0)
        return line.copy(residual = residual(points, line))
    }

    private fun residual(points: List<Point>, line: Line): Double {
        val maxMagnitude = points.maxOf { abs(it.value) }
        if (maxMagnitude == 0.0) return 0.0
        val squares = points.map { it.value - line.valueAt(it.size) }.map { it * it }
        return sqrt(squares.average()) / maxMagnitude
    }
}
