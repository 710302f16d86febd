package io.apricotslip.wire.link

import io.apricotslip.api.fleet.Vm
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeout
import org.tinylog.kotlin.Logger

/** Opens links to [vm]. */
internal class Dialer(
    private val vm: Vm,
    private val selector: SelectorManager,
    private val connectTimeoutMillis: Long,
    private val backoff: Backoff,
    private val handshaker: Handshaker,
) {
    private var failures = 0

    /** Keeps a link open until cancelled; reopens it with backoff when it ends or the connection fails. */
    suspend fun run() {
        while (true) {
            connectOnce()
            delay(backoff.nextDelayMillis())
        }
    }

    /** Opens the link and serves it until it ends; a failure is logged, not thrown. */
    suspend fun connectOnce() {
        try {
            handshaker.serve(connect(), expected = vm.id, onHelloAccepted = ::onConnected)
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            onConnectFailed(e)
        }
    }

    private suspend fun connect(): Connection = withTimeout(connectTimeoutMillis) {
        Connection(aSocket(selector).tcp().connect(vm.address, vm.port) { noDelay = true })
    }

    private fun onConnected() {
        failures = 0
        backoff.reset()
    }

    /** Logs the first of consecutive failures at WARN and the others at DEBUG: a dead peer must not flood the log. */
    private fun onConnectFailed(cause: Exception) {
        failures++
        val line = "event=connect_failed step=connect peer=${vm.id} failures=$failures reason=\"${cause.message}\""
        if (failures == 1) Logger.warn(line) else Logger.debug(line)
    }
}
