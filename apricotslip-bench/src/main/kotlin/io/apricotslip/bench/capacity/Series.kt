package io.apricotslip.bench.capacity

/**
 * One quantity measured at several sizes.
 *
 * @property per what the sizes count.
 * @property unit unit of the values.
 */
internal class Series(val name: String, val per: String, val unit: String, val points: List<Point>) {
    /** The line through [points]. */
    val line: Line = LeastSquares.fit(points)

    /** The value at [size]: between measured sizes by interpolation, below them the first, beyond them by the slope. */
    fun at(size: Double): Double {
        val after = points.indexOfFirst { it.size >= size }
        if (after == 0) return points.first().value
        if (after < 0) return points.last().value + (size - points.last().size) * line.slope
        val low = points[after - 1]
        val high = points[after]
        return low.value + (high.value - low.value) * (size - low.size) / (high.size - low.size)
    }

    companion object {
        /** Measures each of [sizes] with [measure]. */
        fun of(name: String, per: String, unit: String, sizes: List<Int>, measure: (Int) -> Double): Series {
            val points = sizes.map { Point(it.toDouble(), measure(it)) }
            return Series(name, per, unit, points)
        }
    }
}
