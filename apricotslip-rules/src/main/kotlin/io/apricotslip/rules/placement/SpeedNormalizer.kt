package io.apricotslip.rules.placement

import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.roundToInt

/**
 * Normalizes engine speeds by the slowest, as in Clark et al., "Scheduling of Parallel Jobs on Dynamic, Heterogenous
 * Networks" (1995). The results are rounded to logarithmic steps, so that entry VMs whose speed estimates differ
 * slightly agree.
 */
internal class SpeedNormalizer(private val speeds: List<Double>) {
    private val slowest = speeds.min()

    fun normalize(speed: Double): Double {
        val steps = (ln(speed / slowest) / ln(STEP_FACTOR)).roundToInt()
        return STEP_FACTOR.pow(steps)
    }

    private companion object {
        const val STEP_FACTOR = 1.25
    }
}
