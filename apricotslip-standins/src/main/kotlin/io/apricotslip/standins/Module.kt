package io.apricotslip.standins

internal const val MODULE = "apricotslip-standins"
