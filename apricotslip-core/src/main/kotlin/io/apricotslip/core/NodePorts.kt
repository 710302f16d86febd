package io.apricotslip.core

/** TCP ports that a started node listens on. */
public data class NodePorts(public val callers: Int, public val operators: Int, public val peers: Int)
