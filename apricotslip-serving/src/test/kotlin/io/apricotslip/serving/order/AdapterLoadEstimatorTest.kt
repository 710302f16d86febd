package io.apricotslip.serving.order

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn

class AdapterLoadEstimatorTest {
    private class Case(val name: String, val loadMillis: Double, val atFullSpeed: Int, val underWay: List<Int>)

    private val cases = listOf(
        Case("the deployments' smaller store", 250.0, 8, listOf(3, 12, 16, 4, 20)),
        Case("a store with twice the loads", 250.0, 16, listOf(4, 26, 40, 3, 32)),
        Case("adapters that take twice as long", 500.0, 8, listOf(2, 3, 16, 24, 2)),
    )

    @TestFactory
    fun `learns the time of a load and the loads at full speed`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val pace = AdapterLoadEstimator()
            repeat(60) {
                for (loads in case.underWay) {
                    val millis = case.loadMillis * maxOf(1.0, loads / case.atFullSpeed.toDouble())
                    pace.recordStoreLoad(loads.toDouble(), millis.toLong())
                }
            }
            expectThat(pace.storeLoadMillis).isIn(case.loadMillis * 0.8..case.loadMillis * 1.2)
            expectThat(pace.fullSpeedLoads).isIn(case.atFullSpeed * 0.7..case.atFullSpeed * 1.3)
        }
    }

    @Test
    fun `finds the loads of a larger store though it never starts more than it believes in`() {
        val pace = AdapterLoadEstimator()
        repeat(200) {
            val underWay = pace.fullSpeedLoads
            pace.recordStoreLoad(underWay, (250 * maxOf(1.0, underWay / 16)).toLong())
        }
        expectThat(pace.fullSpeedLoads).isIn(12.0..24.0)
    }

    @Test
    fun `loads beyond those at full speed take longer in proportion`() {
        val pace = AdapterLoadEstimator()
        expectThat(pace.expectedStoreLoadMillis(others = 3)).isEqualTo(pace.storeLoadMillis)
        expectThat(pace.expectedStoreLoadMillis(others = 15)).isEqualTo(pace.storeLoadMillis * 16 / pace.fullSpeedLoads)
        expectThat(pace.storeLoadMillis).isGreaterThan(pace.cachedLoadMillis)
    }
}
