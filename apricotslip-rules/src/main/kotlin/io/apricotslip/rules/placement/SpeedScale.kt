package io.apricotslip.rules.placement

import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.roundToInt

/**
 * Speeds of engines, normalised by the slowest as in Clark et al., "Scheduling of Parallel Jobs on Dynamic,
 * Heterogenous Networks" (1995), and rounded to steps, so that entry VMs which learned slightly different speeds agree.
 */
internal class SpeedScale(private val speeds: List<Double>) {
    private val slowest = speeds.min()

    fun normalised(speed: Double): Double {
        val steps = (ln(speed / slowest) / ln(STEP)).roundToInt()
        return STEP.pow(steps)
    }

    private companion object {
        const val STEP = 1.25
    }
}
