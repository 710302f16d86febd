package io.apricotslip.bench.capacity

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against wrong fits, interpolation and table rows, which would falsify the sizing tables. */
internal class LeastSquaresTest {
    class Case(val name: String, val points: List<Point>, val line: Line) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `fits intercept, slope and residual`(case: Case) {
        val line = LeastSquares.fit(case.points)
        expectThat(line) {
            get { intercept }.isEqualTo(case.line.intercept, TOLERANCE)
            get { slope }.isEqualTo(case.line.slope, TOLERANCE)
            get { residual }.isEqualTo(case.line.residual, TOLERANCE)
        }
    }

    @Test
    fun `rejects points that all have the same size`() {
        assertThrows<IllegalArgumentException> { LeastSquares.fit(listOf(Point(1.0, 2.0), Point(1.0, 3.0))) }
    }

    @Test
    fun `writes a row with slope and residual`() {
        val series = Series.of("heap", "peer", "B", listOf(1, 2, 3)) { 10.0 + 100 * it }
        expectThat(SlopeTable.of(listOf(series)).lines().last())
            .isEqualTo("| heap | 1.00 / 2.00 / 3.00 peers | 110 / 210 / 310 B | 10.0 | 100 B per peer | 0.0% |")
    }

    @ParameterizedTest
    @CsvSource("0.5, 10", "1, 10", "2, 15", "3, 20", "4, 40", "5, 60", "7, 85")
    fun `interpolates between measured sizes`(size: Double, value: Double) {
        val series = Series("heap", "peer", "B", points(1.0 to 10.0, 3.0 to 20.0, 5.0 to 60.0))
        expectThat(series.valueAt(size)).isEqualTo(value, TOLERANCE)
    }

    companion object {
        private const val TOLERANCE = 1e-9

        @JvmStatic
        fun cases() = listOf(
            Case("exact line", points(1.0 to 5.0, 2.0 to 7.0, 4.0 to 11.0), Line(3.0, 2.0, 0.0)),
            Case("flat", points(1.0 to 4.0, 3.0 to 4.0), Line(4.0, 0.0, 0.0)),
            Case("all zero", points(0.0 to 0.0, 1.0 to 0.0), Line(0.0, 0.0, 0.0)),
            Case("one point off", points(0.0 to 0.0, 1.0 to 3.0, 2.0 to 0.0), Line(1.0, 0.0, SQRT_2 / 3)),
        )

        private const val SQRT_2 = 1.4142135623730951

        private fun points(vararg pairs: Pair<Double, Double>) = pairs.map { Point(it.first, it.second) }
    }
}
