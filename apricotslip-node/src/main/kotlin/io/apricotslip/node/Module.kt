package io.apricotslip.node

internal const val MODULE = "apricotslip-node"
