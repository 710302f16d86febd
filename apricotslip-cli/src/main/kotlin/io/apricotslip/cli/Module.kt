package io.apricotslip.cli

internal const val MODULE = "apricotslip-cli"
