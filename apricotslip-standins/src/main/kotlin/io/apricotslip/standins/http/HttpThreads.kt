package io.apricotslip.standins.http

import reactor.netty.resources.LoopResources

private const val THREADS = 2

/** Event loops that all ports and clients of the process share. */
internal val httpThreads: LoopResources = LoopResources.create("standin-http", THREADS, true)
