package io.apricotslip.bench

internal const val MODULE = "apricotslip-bench"
