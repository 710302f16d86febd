package io.apricotslip.cli.output

import kotlin.time.Duration.Companion.milliseconds

/** Formats a duration as human-readable text, such as `1h 2m 3.5s`. */
internal fun formatDuration(millis: Long): String = millis.milliseconds.toString()

internal fun yesNo(value: Boolean): String = if (value) "yes" else "no"
