package io.apricotslip.standins.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.manifest.WhenFull
import io.apricotslip.standins.history.History
import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.settings.EngineSettings
import io.apricotslip.standins.store.LoadResult
import reactor.core.publisher.Mono
import reactor.core.publisher.MonoSink
import java.time.Duration

/** How long an accepted request waits for its first reader before it ends. */
private val attachTimeout = Duration.ofSeconds(5)

/** State and behavior of an engine, without its HTTP API. Not thread safe; call it on [loop]. */
internal class Engine(
    private val settings: EngineSettings,
    private val loop: EventLoop,
    private val weights: WeightSource,
    history: History,
) : BatchListener {
    private val recorder = EngineRecorder(settings.id, history)
    private val slots = AdapterSlots(settings.slots)
    private val fence = FenceGuard(settings.fence)
    private val queue = RequestQueue()
    private val cache = PrefixCache(settings.cache, loop)
    private val batch = Batch(settings, loop, queue, cache, this)
    private val streams = mutableMapOf<String, CompletionStream>()
    private val loadWaiters = mutableMapOf<AdapterVersion, MutableList<MonoSink<OrderAnswer>>>()
    private var sequence = 0L
    private var incarnation = System.currentTimeMillis()
    private var isStarting = false
    private var staleOrders = 0L
    private var restarts = 0L
    private val reports = ReportPublisher(Duration.ofMillis(settings.reportLagMillis), loop, report())

    /** How many of the next loads fail, as injected by a test. */
    var remainingLoadFailures: Long = 0

    /** Queues a request, or refuses it before any work is done. */
    fun start(body: CompletionBody, adapter: AdapterVersion): StartAnswer {
        val refusal = when {
            isStarting -> StartAnswer.Reason.STARTING
            body.requestId in streams -> StartAnswer.Reason.DUPLICATE_REQUEST
            slots.state(adapter) != SlotState.RESIDENT -> StartAnswer.Reason.ADAPTER_NOT_RESIDENT
            queue.size >= settings.queue + batch.freeCapacity -> StartAnswer.Reason.FULL
            else -> null
        }
        if (refusal != null) return StartAnswer.Refused(refusal)
        return StartAnswer.Accepted(accept(body, adapter))
    }

    /** Returns the stream of the request with the ID [request], or null if it is unknown or no longer retained. */
    fun stream(request: String): CompletionStream? = streams[request]

    /** Cancels [request] if it has not ended. */
    fun cancel(request: String) {
        streams[request]?.let { endStream(it, EndCause.CANCELLED) }
    }

    /** Loads [adapter] and emits the answer when the load has completed. Concurrent loads of it share one fetch. */
    fun load(adapter: AdapterVersion, fenceNumber: Long): Mono<OrderAnswer> {
        if (isStarting) return Mono.just(OrderAnswer.Starting)
        if (!acceptsFence(fenceNumber)) return Mono.just(OrderAnswer.StaleFence(fence.highest))
        return when (slots.state(adapter)) {
            SlotState.RESIDENT -> Mono.just(OrderAnswer.Done(sequence))
            SlotState.LOADING -> awaitLoad(adapter)
            null -> loadIntoSlot(adapter)
        }
    }

    /** Evicts [adapter], even while requests on it are active; their streams break. */
    fun evict(adapter: AdapterVersion, fenceNumber: Long): OrderAnswer {
        if (isStarting) return OrderAnswer.Starting
        if (!acceptsFence(fenceNumber)) return OrderAnswer.StaleFence(fence.highest)
        if (slots.state(adapter) != SlotState.RESIDENT) return OrderAnswer.NotResident(sequence)
        evictResident(adapter, isEngineInitiated = false)
        return OrderAnswer.Done(sequence)
    }

    /** Emits the published report as soon as its sequence is at least [after], at the latest after [wait]. */
    fun report(after: Long, wait: Duration): Mono<Report> = reports.await(after, wait)

    /** Returns the published cache events with a number above [after]. */
    fun cacheEvents(after: Long): CacheEvents = cache.events(after)

    /**
     * Restarts the engine: drops its adapters, streams and cached prefixes, and refuses requests
     * and orders for [startupTime].
     */
    fun restart(startupTime: Duration) {
        restarts++
        streams.values.toList().forEach { endStream(it, EndCause.RESTARTED) }
        loadWaiters.clear()
        streams.clear()
        queue.clear()
        batch.restart()
        slots.clear()
        cache.clear()
        fence.clear()
        sequence = 0
        incarnation = maxOf(incarnation + 1, System.currentTimeMillis())
        reports.restart(report())
        isStarting = true
        val scheduledIncarnation = incarnation
        loop.schedule(startupTime) { if (scheduledIncarnation == incarnation) isStarting = false }
    }

    /** Returns the state that the admin API exposes. */
    fun state(): EngineState = EngineState(
        report = report(),
        isStarting = isStarting,
        started = recorder.started,
        finished = recorder.finished,
        broken = recorder.broken,
        tokens = batch.generatedTokens,
        loads = recorder.loads,
        failedLoads = recorder.failedLoads,
        evictions = recorder.evictions,
        ownEvictions = recorder.ownEvictions,
        evictionsInUse = recorder.evictionsInUse,
        staleOrders = staleOrders,
        restarts = restarts,
    )

    override fun onStarted(stream: CompletionStream) {
        recorder.recordStart(stream)
        recordChange()
    }

    override fun onCompleted(stream: CompletionStream) {
        endStream(stream, EndCause.FINISHED)
    }

    private fun accept(body: CompletionBody, adapter: AdapterVersion): CompletionStream {
        val stream = CompletionStream(body, adapter, loop, ::onDetached)
        streams[body.requestId] = stream
        slots.acquire(adapter)
        queue.add(stream)
        recordChange()
        batch.startIfIdle()
        scheduleDetachTimeout(stream, attachTimeout)
        return stream
    }

    private fun onDetached(stream: CompletionStream) {
        scheduleDetachTimeout(stream, Duration.ofMillis(settings.detachMillis))
    }

    /** Ends [stream] after [timeout] unless a reader is attached or was attached in the meantime. */
    private fun scheduleDetachTimeout(stream: CompletionStream, timeout: Duration) {
        val initialCount = stream.detachCount
        loop.schedule(timeout) {
            if (!stream.hasReaders && stream.detachCount == initialCount) endStream(stream, EndCause.DETACHED)
        }
    }

    private fun endStream(stream: CompletionStream, cause: EndCause) {
        if (stream.phase == StreamPhase.ENDED) return
        recorder.recordEnd(stream, cause)
        queue.remove(stream)
        batch.remove(stream)
        slots.release(stream.adapter)
        stream.end(cause)
        recordChange()
        loop.schedule(Duration.ofMillis(settings.retainMillis)) { removeStream(stream) }
    }

    private fun removeStream(stream: CompletionStream) {
        streams.remove(stream.body.requestId, stream)
    }

    private fun acceptsFence(fenceNumber: Long): Boolean {
        val isAccepted = fence.accepts(fenceNumber)
        if (!isAccepted) staleOrders++
        return isAccepted
    }

    private fun loadIntoSlot(adapter: AdapterVersion): Mono<OrderAnswer> {
        if (slots.isFull && !freeSlot()) return Mono.just(OrderAnswer.Full)
        slots.reserve(adapter)
        loadWaiters[adapter] = mutableListOf()
        recordChange()
        fetch(adapter)
        return awaitLoad(adapter)
    }

    private fun freeSlot(): Boolean = when (settings.whenFull) {
        WhenFull.REFUSES -> false
        WhenFull.EVICTS -> slots.evictionCandidate()?.also { evictResident(it, isEngineInitiated = true) } != null
    }

    private fun awaitLoad(adapter: AdapterVersion): Mono<OrderAnswer> = Mono.create { sink ->
        loop.execute {
            val waiters = loadWaiters[adapter]
            if (waiters == null) sink.success(loadAnswer(adapter)) else waiters += sink
        }
    }

    private fun fetch(adapter: AdapterVersion) {
        val scheduledIncarnation = incarnation
        weights.fetch(adapter).subscribe { result ->
            loop.execute { if (scheduledIncarnation == incarnation) completeLoad(adapter, result) }
        }
    }

    private fun completeLoad(adapter: AdapterVersion, fetched: LoadResult) {
        val isLoaded = fetched == LoadResult.LOADED && remainingLoadFailures == 0L
        if (remainingLoadFailures > 0) remainingLoadFailures--
        if (isLoaded) {
            slots.makeResident(adapter)
            recorder.recordLoad(adapter)
        } else {
            slots.remove(adapter)
            recorder.recordLoadFailure(adapter)
        }
        recordChange()
        loadWaiters.remove(adapter).orEmpty().forEach { it.success(loadAnswer(adapter)) }
    }

    private fun loadAnswer(adapter: AdapterVersion): OrderAnswer =
        if (slots.state(adapter) == SlotState.RESIDENT) OrderAnswer.Done(sequence) else OrderAnswer.LoadFailed

    private fun evictResident(adapter: AdapterVersion, isEngineInitiated: Boolean) {
        recorder.recordEviction(
            adapter,
            isInUse = slots.activeRequests(adapter) > 0,
            isEngineInitiated = isEngineInitiated,
        )
        val broken = streams.values.filter { it.adapter == adapter && it.phase != StreamPhase.ENDED }
        broken.forEach { endStream(it, EndCause.EVICTED) }
        slots.remove(adapter)
        recordChange()
    }

    /** Advances the sequence number and records the new report. */
    private fun recordChange() {
        sequence++
        reports.record(report())
    }

    private fun report(): Report = Report(
        sequence = sequence,
        incarnation = incarnation,
        slots = settings.slots,
        batch = settings.batch,
        running = batch.size,
        queued = queue.size,
        fence = fence.highest,
        adapters = slots.report(),
    )
}
