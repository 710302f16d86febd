package io.apricotslip.bench.decide

/** What fails in a scenario, and when. */
internal sealed class Fault {
    abstract val at: Long
    abstract val until: Long

    /** Part of what [deployment] can carry that remains. */
    abstract fun remaining(deployment: Deployment): Double

    /** [engine] and what runs there are gone until [until], then back without any adapter. */
    data class EngineLost(val engine: Int, override val at: Long, override val until: Long) : Fault() {
        override fun remaining(deployment: Deployment): Double =
            1 - deployment.kinds[engine].capacity() / deployment.capacity
    }

    /** Part [failing] of the loads fail. */
    data class StoreFails(val failing: Double, override val at: Long, override val until: Long) : Fault() {
        override fun remaining(deployment: Deployment): Double = 1 - failing * (1 - residentPart(deployment))

        /** Requests that need no load go on. */
        private fun residentPart(deployment: Deployment): Double = Zipf(ADAPTERS, EXPONENT).mass(deployment.slots)
    }
}
