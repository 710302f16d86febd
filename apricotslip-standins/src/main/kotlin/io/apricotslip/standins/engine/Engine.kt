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

/** Time for the first reader of an accepted request to come. */
private val attachTimeout = Duration.ofSeconds(5)

/** An engine without its ports. Not thread safe; every call is made on [loop]. */
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
    private val reports = ReportLog(Duration.ofMillis(settings.reportLagMillis), loop, report())

    /** Loads that shall fail from now on. */
    var loadFailuresToCome: Long = 0

    /** Takes a request, or refuses it before any work. */
    fun start(body: CompletionBody, adapter: AdapterVersion): StartAnswer {
        val refusal = when {
            isStarting -> StartAnswer.Reason.STARTING
            body.requestId in streams -> StartAnswer.Reason.DUPLICATE_REQUEST
            slots.state(adapter) != SlotState.RESIDENT -> StartAnswer.Reason.ADAPTER_NOT_RESIDENT
            queue.size >= settings.queue + batch.room -> StartAnswer.Reason.FULL
            else -> null
        }
        if (refusal != null) return StartAnswer.Refused(refusal)
        return StartAnswer.Accepted(accept(body, adapter))
    }

    /** The stream of [request], or null. */
    fun stream(request: String): CompletionStream? = streams[request]

    /** Cancels [request] if it still runs. */
    fun cancel(request: String) {
        streams[request]?.let { endStream(it, EndCause.CANCELLED) }
    }

    /** Loads [adapter]. */
    fun load(adapter: AdapterVersion, fenceNumber: Long): Mono<OrderAnswer> {
        if (isStarting) return Mono.just(OrderAnswer.Starting)
        if (!admits(fenceNumber)) return Mono.just(OrderAnswer.StaleFence(fence.highest))
        return when (slots.state(adapter)) {
            SlotState.RESIDENT -> Mono.just(OrderAnswer.Done(sequence))
            SlotState.LOADING -> awaitLoad(adapter)
            null -> loadIntoSlot(adapter)
        }
    }

    /** Evicts [adapter], also while it is in use. */
    fun evict(adapter: AdapterVersion, fenceNumber: Long): OrderAnswer {
        if (isStarting) return OrderAnswer.Starting
        if (!admits(fenceNumber)) return OrderAnswer.StaleFence(fence.highest)
        if (slots.state(adapter) != SlotState.RESIDENT) return OrderAnswer.NotResident(sequence)
        evictResident(adapter, isOwn = false)
        return OrderAnswer.Done(sequence)
    }

    /** The report that is published once its sequence is at least [after], or the one published after [wait]. */
    fun report(after: Long, wait: Duration): Mono<Report> = reports.await(after, wait)

    /** Published cache events above number [after]. */
    fun cacheEvents(after: Long): CacheEvents = cache.events(after)

    /** Loses everything and refuses work for [cold]. */
    fun restart(cold: Duration) {
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
        val startedAs = incarnation
        loop.schedule(cold) { if (startedAs == incarnation) isStarting = false }
    }

    /** What the controls read back. */
    fun state(): EngineState = EngineState(
        report = report(),
        isStarting = isStarting,
        started = recorder.started,
        finished = recorder.finished,
        broken = recorder.broken,
        tokens = batch.tokens,
        loads = recorder.loads,
        failedLoads = recorder.failedLoads,
        evictions = recorder.evictions,
        ownEvictions = recorder.ownEvictions,
        evictionsInUse = recorder.evictionsInUse,
        staleOrders = staleOrders,
        restarts = restarts,
    )

    override fun onRun(stream: CompletionStream) {
        recorder.run(stream)
        changed()
    }

    override fun onWhole(stream: CompletionStream) {
        endStream(stream, EndCause.FINISHED)
    }

    private fun accept(body: CompletionBody, adapter: AdapterVersion): CompletionStream {
        val stream = CompletionStream(body, adapter, loop, ::abandoned)
        streams[body.requestId] = stream
        slots.use(adapter)
        queue.add(stream)
        changed()
        batch.kick()
        endUnlessRead(stream, attachTimeout)
        return stream
    }

    private fun abandoned(stream: CompletionStream) {
        endUnlessRead(stream, Duration.ofMillis(settings.detachMillis))
    }

    private fun endUnlessRead(stream: CompletionStream, time: Duration) {
        val seen = stream.abandonments
        loop.schedule(time) {
            if (!stream.isRead && stream.abandonments == seen) endStream(stream, EndCause.DETACHED)
        }
    }

    private fun endStream(stream: CompletionStream, cause: EndCause) {
        if (stream.phase == StreamPhase.ENDED) return
        recorder.streamEnd(stream, cause)
        queue.remove(stream)
        batch.remove(stream)
        slots.release(stream.adapter)
        stream.end(cause)
        changed()
        loop.schedule(Duration.ofMillis(settings.retainMillis)) { forget(stream) }
    }

    private fun forget(stream: CompletionStream) {
        streams.remove(stream.body.requestId, stream)
    }

    private fun admits(fenceNumber: Long): Boolean {
        val isAdmitted = fence.admits(fenceNumber)
        if (!isAdmitted) staleOrders++
        return isAdmitted
    }

    private fun loadIntoSlot(adapter: AdapterVersion): Mono<OrderAnswer> {
        if (slots.isFull && !makeRoom()) return Mono.just(OrderAnswer.Full)
        slots.reserve(adapter)
        loadWaiters[adapter] = mutableListOf()
        changed()
        fetch(adapter)
        return awaitLoad(adapter)
    }

    private fun makeRoom(): Boolean = when (settings.whenFull) {
        WhenFull.REFUSES -> false
        WhenFull.EVICTS -> slots.victim()?.also { evictResident(it, isOwn = true) } != null
    }

    private fun awaitLoad(adapter: AdapterVersion): Mono<OrderAnswer> = Mono.create { sink ->
        loop.execute {
            val waiters = loadWaiters[adapter]
            if (waiters == null) sink.success(settledLoad(adapter)) else waiters += sink
        }
    }

    private fun fetch(adapter: AdapterVersion) {
        val startedAs = incarnation
        weights.fetch(adapter).subscribe { result ->
            loop.execute { if (startedAs == incarnation) settle(adapter, result) }
        }
    }

    private fun settle(adapter: AdapterVersion, fetched: LoadResult) {
        val isLoaded = fetched == LoadResult.LOADED && loadFailuresToCome == 0L
        if (loadFailuresToCome > 0) loadFailuresToCome--
        if (isLoaded) {
            slots.makeResident(adapter)
            recorder.load(adapter)
        } else {
            slots.remove(adapter)
            recorder.loadFailed(adapter)
        }
        changed()
        loadWaiters.remove(adapter).orEmpty().forEach { it.success(settledLoad(adapter)) }
    }

    private fun settledLoad(adapter: AdapterVersion): OrderAnswer =
        if (slots.state(adapter) == SlotState.RESIDENT) OrderAnswer.Done(sequence) else OrderAnswer.LoadFailed

    private fun evictResident(adapter: AdapterVersion, isOwn: Boolean) {
        recorder.evict(adapter, isInUse = slots.inUse(adapter) > 0, isOwn = isOwn)
        val broken = streams.values.filter { it.adapter == adapter && it.phase != StreamPhase.ENDED }
        broken.forEach { endStream(it, EndCause.EVICTED) }
        slots.remove(adapter)
        changed()
    }

    private fun changed() {
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
