package io.apricotslip.cli.output

import kotlin.time.Duration.Companion.milliseconds

/** A duration for people, such as `1h 2m 3.5s`. */
internal fun duration(millis: Long): String = millis.milliseconds.toString()

/** A yes or no for people. */
internal fun yesNo(value: Boolean): String = if (value) "yes" else "no"
