package io.apricotslip.e2e

internal const val MODULE = "apricotslip-e2e"
