package io.apricotslip.wire.link

import io.apricotslip.api.fleet.Vm
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeout
import org.tinylog.kotlin.Logger

/** Keeps a link open to one peer with a higher name. */
internal class Dialer(
    private val vm: Vm,
    private val selector: SelectorManager,
    private val connectMillis: Long,
    private val backoff: Backoff,
    private val greeter: Greeter,
) {
    private var failures = 0

    /** Opens the link again and again until cancelled. */
    suspend fun run() {
        while (true) {
            once()
            delay(backoff.next())
        }
    }

    /** Opens the link and serves it until it ends. */
    suspend fun once() {
        try {
            greeter.serve(connect(), expected = vm.id, onGreeted = ::succeeded)
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            failed(e)
        }
    }

    private suspend fun connect(): Connection = withTimeout(connectMillis) {
        Connection(aSocket(selector).tcp().connect(vm.address, vm.port) { noDelay = true })
    }

    private fun succeeded() {
        failures = 0
        backoff.reset()
    }

    /** Logs the first failure in a row loudly; a dead peer is no news after that. */
    private fun failed(cause: Exception) {
        failures++
        val line = "event=connect_failed step=connect peer=${vm.id} failures=$failures reason=\"${cause.message}\""
        if (failures == 1) Logger.warn(line) else Logger.debug(line)
    }
}
