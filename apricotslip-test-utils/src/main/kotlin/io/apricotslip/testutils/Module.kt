package io.apricotslip.testutils

internal const val MODULE = "apricotslip-test-utils"
