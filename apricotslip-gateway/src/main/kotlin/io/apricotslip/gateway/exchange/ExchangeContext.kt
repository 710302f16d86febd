package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.ServiceId
import io.apricotslip.gateway.Dialect
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.observe.GatewayMetrics
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.order.LoadRequest
import io.apricotslip.serving.placement.EngineSelector
import io.apricotslip.serving.placement.PlainServerSelector
import io.apricotslip.serving.retry.RetryBudget
import io.apricotslip.serving.state.DesiredState
import io.netty.channel.EventLoop

/** What the exchanges of a node share; everything runs on [loop]. */
internal class ExchangeContext(
    val loop: EventLoop,
    val now: () -> Long,
    val dialect: Dialect,
    val servers: Servers,
    val rules: Rules,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
    val desiredState: () -> DesiredState?,
    val nodeCount: () -> Int,
    val initializing: () -> Boolean,
    val stopping: () -> Boolean,
) {
    /** The backend servers and the ways to them. */
    class Servers(val fleet: Fleet, val pool: ServerConnectionPool, val adapterLoader: AdapterLoader)

    /** What decides where a request goes, and whether it goes again. */
    class Rules(
        val engines: EngineSelector,
        val plain: PlainServerSelector,
        val retryBudget: (ServiceId) -> RetryBudget,
        val requiredVersion: (ServedAdapter, Long) -> Long?,
    )

    /** Requests under way. */
    var openExchanges: Int = 0

    /** Asks for an adapter to be loaded at a server. */
    fun interface AdapterLoader {
        /** Asks for the load of [wanted] at [server]; [missing] tells that the server said it does not hold it. */
        fun load(server: Server, wanted: LoadRequest, missing: Boolean, done: (String?) -> Unit)
    }
}
