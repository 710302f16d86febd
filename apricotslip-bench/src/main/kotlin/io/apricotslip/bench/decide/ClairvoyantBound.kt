package io.apricotslip.bench.decide

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.work.WorkClass
import java.util.TreeSet

/**
 * Lower bound for the stalls of a fleet that knows the whole trace but loads no adapter before the first request for
 * it. All slots form one pool in which no adapter is pinned; the adapter whose next request is farthest in the future
 * is evicted; one token bucket limits the store, which serves the most urgent class first; batches are unlimited.
 * The bound is loose, because no real fleet can pool its slots.
 */
internal class ClairvoyantBound(private val scenario: Scenario) {
    private class ResidentAdapter(val nextRequestAt: Long, val adapter: AdapterVersion)

    private class PendingLoad(val adapter: AdapterVersion, val arrivals: MutableList<Arrival>) {
        fun urgency(): Int = arrivals.minOf { it.work.workClass.ordinal }
    }

    private val loop = EventLoop()
    private val store = scenario.deployment.store
    private val requestTimes = scenario.arrivals.groupBy {
        it.work.adapter
    }.mapValues { e -> e.value.map { it.work.arrivedAt } }
    private val resident = HashMap<AdapterVersion, ResidentAdapter>()
    private val evictionOrder = TreeSet(compareBy<ResidentAdapter> { it.nextRequestAt }.thenBy { it.adapter })
    private val pending = LinkedHashMap<AdapterVersion, PendingLoad>()
    private val loading = HashMap<AdapterVersion, PendingLoad>()
    private val stalls = HashMap<WorkClass, ArrayList<Long>>()
    private var storeTokens = store.fullSpeedInFlight.toDouble()
    private var refilledAt = 0L
    private var startedLoads = 0

    fun run(): Map<WorkClass, Percentiles> {
        scenario.arrivals.forEach { arrival -> loop.scheduleAt(arrival.work.arrivedAt) { onArrival(arrival) } }
        loop.run(scenario.end)
        return WorkClass.entries.associateWith { Percentiles.of(stalls[it].orEmpty()) }
    }

    private fun onArrival(arrival: Arrival) {
        val adapter = arrival.work.adapter
        if (adapter in resident) {
            markResident(adapter)
            recordStall(arrival, 0)
        } else if (adapter in loading) {
            loading.getValue(adapter).arrivals += arrival
        } else {
            pending.getOrPut(adapter) { PendingLoad(adapter, ArrayList()) }.arrivals += arrival
            startLoads()
        }
    }

    private fun startLoads() {
        refill()
        while (storeTokens >= 1 - ROUNDING_TOLERANCE && pending.isNotEmpty()) {
            storeTokens -= 1
            val next = pending.values.minWith(
                compareBy<PendingLoad> {
                    it.urgency()
                }.thenBy { it.arrivals[0].work.arrivedAt },
            )
            pending.remove(next.adapter)
            loading[next.adapter] = next
            startedLoads += 1
            loop.scheduleAfter(SimulatedStore.LOAD_NANOS) { onLoaded(next) }
        }
        if (pending.isNotEmpty()) {
            val wait = (1 - storeTokens) / store.loadsPerSecond * NANOS_PER_SECOND
            loop.scheduleAfter(maxOf(wait.toLong(), 1) + 1) { startLoads() }
        }
    }

    private fun onLoaded(done: PendingLoad) {
        loading.remove(done.adapter)
        done.arrivals.forEach { recordStall(it, loop.now - it.work.arrivedAt) }
        if (resident.size >= scenario.deployment.slots) evictionOrder.pollLast()?.let { resident.remove(it.adapter) }
        markResident(done.adapter)
    }

    private fun markResident(adapter: AdapterVersion) {
        resident.remove(adapter)?.let { evictionOrder.remove(it) }
        val times = requestTimes.getValue(adapter)
        val at = times.binarySearch(loop.now + 1)
        val next = times.getOrElse(if (at >= 0) at else -at - 1) { Long.MAX_VALUE }
        val entry = ResidentAdapter(next, adapter)
        resident[adapter] = entry
        evictionOrder += entry
    }

    private fun recordStall(arrival: Arrival, stall: Long) {
        if (arrival.work.arrivedAt >= scenario.warmUp) stalls.getOrPut(arrival.work.workClass) { ArrayList() } += stall
    }

    private fun refill() {
        storeTokens =
            minOf(
                store.fullSpeedInFlight.toDouble(),
                storeTokens + (loop.now - refilledAt) * store.loadsPerSecond / NANOS_PER_SECOND,
            )
        refilledAt = loop.now
    }

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-9
    }
}
