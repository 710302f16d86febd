package io.apricotslip.gateway.room

import io.apricotslip.api.id.ServiceId
import io.apricotslip.gateway.exchange.ExchangeContext
import io.apricotslip.serving.limit.TrafficShare
import io.apricotslip.serving.room.ServiceShare

/** The rooms of all services of this node; one is made with the first request that needs it. */
internal class Rooms(private val context: ExchangeContext) {
    private val byService = HashMap<ServiceId, ServiceRoom>()
    private var running = emptyMap<ServiceId, Double>()

    fun of(service: ServiceId): ServiceRoom =
        byService.getOrPut(service) { ServiceRoom(service, context) { share(service) } }

    /** Applies what other nodes reported; must be called at each tick. */
    fun tick() {
        if (byService.isEmpty()) return
        updateRunning()
        byService.values.toList().forEach(ServiceRoom::tick)
    }

    /** Number of waiting requests by their engine priority. */
    fun waitingByPriority(): Map<Int, Int> =
        byService.values.flatMap { it.waiting }.groupingBy { it.owner.enginePriority }.eachCount()

    private fun updateRunning() {
        val now = context.now()
        val services = context.desiredState()?.services?.keys.orEmpty()
        running = services.associateWith { service ->
            val total = context.servers.fleet.usable(service, now).sumOf { it.totalUtilization().running }.toDouble()
            running[service]?.let { it + (total - it) * SMOOTHING_FACTOR } ?: total
        }
    }

    /** The part of the fleet's requests for [service] that this node receives. */
    private fun share(service: ServiceId): TrafficShare {
        val now = context.now()
        val traffic = context.rules.traffic
        val overall = traffic.share(now)
        val loads = running.mapValues { (id, running) ->
            val budget = byService[id]?.budget
            ServiceShare.Load(budget?.arrivalsPerSecond(now) ?: 0.0, running, budget?.holdMillis)
        }
        val load = loads[service] ?: return overall
        return ServiceShare.of(load, loads.values, overall, traffic.requestsPerSecond(now))
    }

    private companion object {
        /** At a tick every 0.3 s this is a mean of about 3 s, as arrivals are counted over 4 s. */
        const val SMOOTHING_FACTOR = 0.1
    }
}
