package io.apricotslip.serving.room

import kotlin.math.abs

/** How long servers take to begin their answers: the mean and how far the answers are from it. */
internal class AnswerTime {
    private var mean: Double? = null
    private var deviation = 0.0

    /** A time within which most answers begin; null if none has begun. */
    val millis: Double?
        get() = mean?.let { it + deviation * DEVIATIONS }

    fun record(millis: Long) {
        val known = mean
        if (known == null) {
            mean = millis.toDouble()
            deviation = millis / 2.0
            return
        }
        deviation += (abs(millis - known) - deviation) * SMOOTHING_FACTOR
        mean = known + (millis - known) * SMOOTHING_FACTOR
    }

    private companion object {
        /** With one deviation more requests are sent that come too late, with three more are refused without need. */
        const val DEVIATIONS = 2.0
        const val SMOOTHING_FACTOR = 0.05
    }
}
