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

    companion object {
        /** Measures each of [sizes] with [measure]. */
        fun of(name: String, per: String, unit: String, sizes: List<Int>, measure: (Int) -> Double): Series {
            val points = sizes.map { Point(it.toDouble(), measure(it)) }
            return Series(name, per, unit, points)
        }
    }
}
