package io.apricotslip.wire.link

import io.apricotslip.api.fleet.Vm
import io.apricotslip.wire.LinkOptions
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeout
import org.tinylog.kotlin.Logger
import kotlin.random.Random

/** Keeps a link open to one peer with a higher name. */
internal class Dialer(
    private val vm: Vm,
    private val selector: SelectorManager,
    private val options: LinkOptions,
    private val random: Random,
    private val greeter: Greeter,
) {
    /** Opens the link again and again until cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            attempt()
            delay(pause())
        }
    }

    private suspend fun attempt() {
        try {
            greeter.serve(connect(), expected = vm.id)
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            Logger.debug { "event=connect_failed step=connect peer=${vm.id} reason=\"${e.message}\"" }
        }
    }

    private suspend fun connect(): Connection = withTimeout(options.connectMillis) {
        Connection(aSocket(selector).tcp().connect(vm.address, vm.port) { noDelay = true })
    }

    private fun pause(): Long {
        val factor = 1.0 + options.reconnectJitter * (2.0 * random.nextDouble() - 1.0)
        return (options.reconnectMillis * factor).toLong()
    }
}
