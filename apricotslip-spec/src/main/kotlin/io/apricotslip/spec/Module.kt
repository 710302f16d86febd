package io.apricotslip.spec

internal const val MODULE = "apricotslip-spec"
