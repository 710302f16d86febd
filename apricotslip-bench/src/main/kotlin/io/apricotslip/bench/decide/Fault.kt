package io.apricotslip.bench.decide

/** A failure in a scenario and its time span, in nanoseconds of virtual time. */
internal sealed class Fault {
    abstract val startsAt: Long
    abstract val endsAt: Long

    /** Fraction of the sustainable rate of [deployment] that remains during the fault. */
    abstract fun remainingRatio(deployment: Deployment): Double

    /** [engine] fails with all its work and is unavailable until [endsAt]; it restarts without adapters. */
    data class EngineLoss(val engine: Int, override val startsAt: Long, override val endsAt: Long) : Fault() {
        override fun remainingRatio(deployment: Deployment): Double =
            1 - deployment.engineKinds[engine].capacityTokensPerSecond() / deployment.capacityTokensPerSecond
    }

    /** The fraction [failureRatio] of all adapter loads fails. */
    data class StoreFailure(val failureRatio: Double, override val startsAt: Long, override val endsAt: Long) :
        Fault() {
        override fun remainingRatio(deployment: Deployment): Double = 1 - failureRatio * (1 - residentShare(deployment))

        /** Share of the requests that need no adapter load and thus still succeed. */
        private fun residentShare(deployment: Deployment): Double =
            Zipf(ADAPTER_COUNT, ZIPF_EXPONENT).mass(deployment.slots)
    }
}
