package io.apricotslip.bench.decide

internal const val NANOS_PER_MILLI = 1_000_000L
internal const val NANOS_PER_SECOND = 1_000_000_000L

internal fun millis(value: Long): Long = value * NANOS_PER_MILLI

internal fun seconds(value: Long): Long = value * NANOS_PER_SECOND
