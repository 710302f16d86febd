package io.apricotslip.bench.decide

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.work.WorkClass
import java.util.TreeSet

/**
 * Stalls of a fleet that knows the whole trace but loads no adapter before a request asks for it: one pool of all
 * slots, of which an adapter is never pinned; the victim is the adapter whose next request is farthest off; one store
 * bucket, the most urgent class first; batches without limit. Loose: no real fleet may pool its slots.
 */
internal class ClairvoyantBound(private val scenario: Scenario) {
    private class Use(val nextAt: Long, val adapter: AdapterVersion)

    private class Waiting(val adapter: AdapterVersion, val records: MutableList<Arrival>) {
        fun urgency(): Int = records.minOf { it.work.workClass.ordinal }
    }

    private val loop = EventLoop()
    private val store = scenario.deployment.store
    private val uses = scenario.arrivals.groupBy {
        it.work.adapter
    }.mapValues { e -> e.value.map { it.work.arrivedAt } }
    private val resident = HashMap<AdapterVersion, Use>()
    private val order = TreeSet(compareBy<Use> { it.nextAt }.thenBy { it.adapter })
    private val waiting = LinkedHashMap<AdapterVersion, Waiting>()
    private val loading = HashMap<AdapterVersion, Waiting>()
    private val stalls = HashMap<WorkClass, ArrayList<Long>>()
    private var tokens = store.fullSpeedInFlight.toDouble()
    private var countedAt = 0L
    private var loads = 0

    fun run(): Map<WorkClass, Percentiles> {
        scenario.arrivals.forEach { arrival -> loop.at(arrival.work.arrivedAt) { arrive(arrival) } }
        loop.run(scenario.end)
        return WorkClass.entries.associateWith { Percentiles.of(stalls[it].orEmpty()) }
    }

    private fun arrive(arrival: Arrival) {
        val adapter = arrival.work.adapter
        if (adapter in resident) {
            hold(adapter)
            record(arrival, 0)
        } else if (adapter in loading) {
            loading.getValue(adapter).records += arrival
        } else {
            waiting.getOrPut(adapter) { Waiting(adapter, ArrayList()) }.records += arrival
            startLoads()
        }
    }

    private fun startLoads() {
        refill()
        while (tokens >= 1 - ROUNDING && waiting.isNotEmpty()) {
            tokens -= 1
            val next = waiting.values.minWith(
                compareBy<Waiting> {
                    it.urgency()
                }.thenBy { it.records[0].work.arrivedAt },
            )
            waiting.remove(next.adapter)
            loading[next.adapter] = next
            loads += 1
            loop.after(ModelStore.LOAD_NANOS) { loaded(next) }
        }
        if (waiting.isNotEmpty()) {
            val wait = (1 - tokens) / store.loadsPerSecond * NANOS_PER_SECOND
            loop.after(maxOf(wait.toLong(), 1) + 1) { startLoads() }
        }
    }

    private fun loaded(done: Waiting) {
        loading.remove(done.adapter)
        done.records.forEach { record(it, loop.now - it.work.arrivedAt) }
        if (resident.size >= scenario.deployment.slots) order.pollLast()?.let { resident.remove(it.adapter) }
        hold(done.adapter)
    }

    private fun hold(adapter: AdapterVersion) {
        resident.remove(adapter)?.let { order.remove(it) }
        val times = uses.getValue(adapter)
        val at = times.binarySearch(loop.now + 1)
        val next = times.getOrElse(if (at >= 0) at else -at - 1) { Long.MAX_VALUE }
        val use = Use(next, adapter)
        resident[adapter] = use
        order += use
    }

    private fun record(arrival: Arrival, stall: Long) {
        if (arrival.work.arrivedAt >= scenario.warmUp) stalls.getOrPut(arrival.work.workClass) { ArrayList() } += stall
    }

    private fun refill() {
        tokens =
            minOf(
                store.fullSpeedInFlight.toDouble(),
                tokens + (loop.now - countedAt) * store.loadsPerSecond / NANOS_PER_SECOND,
            )
        countedAt = loop.now
    }

    private companion object {
        const val ROUNDING = 1e-9
    }
}
