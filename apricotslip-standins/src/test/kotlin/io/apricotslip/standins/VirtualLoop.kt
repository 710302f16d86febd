package io.apricotslip.standins

import io.apricotslip.api.time.Ticker
import io.apricotslip.standins.loop.EventLoop
import reactor.core.publisher.Mono
import reactor.test.scheduler.VirtualTimeScheduler
import java.time.Duration
import java.util.concurrent.TimeUnit

/** An [EventLoop] that runs in virtual time. */
internal class VirtualLoop {
    private val scheduler = VirtualTimeScheduler.create()
    val loop = EventLoop(scheduler, Ticker { scheduler.now(TimeUnit.NANOSECONDS) })

    fun advance(millis: Long) = scheduler.advanceTimeBy(Duration.ofMillis(millis))

    /** Subscribes to [mono] and records its value and the virtual time of its arrival in milliseconds. */
    fun <T : Any> watch(mono: Mono<T>) = Watched<T>().also { w ->
        mono.subscribe {
            w.value = it
            w.atMillis = scheduler.now(TimeUnit.MILLISECONDS)
        }
        scheduler.advanceTime()
    }
}

internal class Watched<T> {
    var value: T? = null
    var atMillis: Long? = null
}
