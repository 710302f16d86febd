package io.apricotslip.bench.capacity

/**
 * One quantity measured at several sizes.
 *
 * @property per what is counted by the sizes, such as VMs or adapters; the slope is stated per one of these.
 * @property unit unit of the values.
 */
internal class Series(val name: String, val per: String, val unit: String, val points: List<Point>) {
    /** The least-squares line through [points]. */
    val line: Line = LeastSquares.fit(points)

    /**
     * The value at [size]: interpolated between measured sizes, the first value below them, and extrapolated with the
     * slope of [line] beyond them.
     */
    fun valueAt(size: Double): Double {
        val upperIndex = points.indexOfFirst { it.size >= size }
        if (upperIndex == 0) return points.first().value
        if (upperIndex < 0) return points.last().value + (size - points.last().size) * line.slope
        val lower = points[upperIndex - 1]
        val upper = points[upperIndex]
        return lower.value + (upper.value - lower.value) * (size - lower.size) / (upper.size - lower.size)
    }

    companion object {
        /** Measures each of [sizes] with [measure]. */
        fun of(name: String, per: String, unit: String, sizes: List<Int>, measure: (Int) -> Double): Series {
            val points = sizes.map { Point(it.toDouble(), measure(it)) }
            return Series(name, per, unit, points)
        }
    }
}
