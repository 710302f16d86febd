package io.apricotslip.standins.http

import reactor.netty.resources.LoopResources

private const val EVENT_LOOP_THREADS = 2

/** Netty event loops shared by all servers and clients of the process. */
internal val httpThreads: LoopResources = LoopResources.create("standin-http", EVENT_LOOP_THREADS, true)
