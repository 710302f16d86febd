package io.apricotslip.core

internal const val MODULE = "apricotslip-core"
