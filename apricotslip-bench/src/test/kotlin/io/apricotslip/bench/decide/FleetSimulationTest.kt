package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

/** Guards against simulated fleets that drop requests, exceed the store rate or give different results per run. */
class FleetSimulationTest {
    private fun scenario(faults: List<Fault> = emptyList()): Scenario {
        val zipf = Zipf(300, 1.0)
        val builder = ScenarioBuilder(Deployment.TANDEMRATAS, 1, zipf)
        builder.poisson(TrafficPhase(0, seconds(200), 4.0))
        return Scenario("test", Deployment.TANDEMRATAS, 1, seconds(50), seconds(1_000), builder.arrivals(), faults)
    }

    private fun run(scenario: Scenario) = FleetSimulation(scenario, Policies.product).run()

    @Nested
    inner class `given steady load` {
        private val result = run(scenario())

        @Test
        fun `every request ends`() {
            expectThat(result.records.count { it.ending == Ending.OPEN }).isEqualTo(0)
        }

        @Test
        fun `adapter loads stay within the rate of the store`() {
            expectThat(result.loads).isLessThanOrEqualTo(1_000 * 2L + 1)
        }

        @Test
        fun `the same seed gives the same stalls`() {
            expectThat(run(scenario()).records.map { it.stall }).isEqualTo(result.records.map { it.stall })
        }

        @Test
        fun `the clairvoyant bound is no higher than the stalls of the product`() {
            val bound = ClairvoyantBound(scenario()).run().getValue(WorkClass.INTERACTIVE)
            expectThat(bound.p99).isLessThanOrEqualTo(result.stalls(WorkClass.INTERACTIVE).p99)
        }
    }

    @Nested
    inner class `given a lost engine and a failing store` {
        private val faults =
            listOf(
                Fault.EngineLoss(5, seconds(100), seconds(130)),
                Fault.StoreFailure(0.5, seconds(100), seconds(130)),
            )

        @Test
        fun `every request ends and most are answered`() {
            val records = run(scenario(faults)).records
            expectThat(records.count { it.ending == Ending.OPEN }).isEqualTo(0)
            expectThat(records.count { it.ending == Ending.COMPLETED } / records.size.toDouble()).isGreaterThan(0.9)
        }
    }
}
