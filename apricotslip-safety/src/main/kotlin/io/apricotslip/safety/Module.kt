package io.apricotslip.safety

internal const val MODULE = "apricotslip-safety"
