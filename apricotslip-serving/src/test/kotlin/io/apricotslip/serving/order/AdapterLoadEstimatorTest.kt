package io.apricotslip.serving.order

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn

class AdapterLoadEstimatorTest {
    private class Case(val name: String, val loadMillis: Double, val fullSpeedLoads: Int, val inFlight: List<Int>)

    private val cases = listOf(
        Case("the smaller weight store of the deployment profiles", 250.0, 8, listOf(3, 12, 16, 4, 20)),
        Case("a store that serves twice as many loads at full speed", 250.0, 16, listOf(4, 26, 40, 3, 32)),
        Case("adapters that take twice as long to load", 500.0, 8, listOf(2, 3, 16, 24, 2)),
    )

    @TestFactory
    fun `estimates the time of a load and the number of loads at full speed`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val estimator = AdapterLoadEstimator()
            repeat(60) {
                for (loads in case.inFlight) {
                    val millis = case.loadMillis * maxOf(1.0, loads / case.fullSpeedLoads.toDouble())
                    estimator.recordStoreLoad(loads.toDouble(), millis.toLong())
                }
            }
            expectThat(estimator.storeLoadMillis).isIn(case.loadMillis * 0.8..case.loadMillis * 1.2)
            expectThat(estimator.fullSpeedLoads).isIn(case.fullSpeedLoads * 0.7..case.fullSpeedLoads * 1.3)
        }
    }

    @Test
    fun `raises the number of loads at full speed although no more than the estimate are in flight`() {
        val estimator = AdapterLoadEstimator()
        repeat(200) {
            val inFlight = estimator.fullSpeedLoads
            estimator.recordStoreLoad(inFlight, (250 * maxOf(1.0, inFlight / 16)).toLong())
        }
        expectThat(estimator.fullSpeedLoads).isIn(12.0..24.0)
    }

    @Test
    fun `loads beyond those at full speed take longer in proportion`() {
        val estimator = AdapterLoadEstimator()
        expectThat(estimator.expectedStoreLoadMillis(otherLoads = 3)).isEqualTo(estimator.storeLoadMillis)
        expectThat(estimator.expectedStoreLoadMillis(otherLoads = 15))
            .isEqualTo(estimator.storeLoadMillis * 16 / estimator.fullSpeedLoads)
        expectThat(estimator.storeLoadMillis).isGreaterThan(estimator.cachedLoadMillis)
    }
}
