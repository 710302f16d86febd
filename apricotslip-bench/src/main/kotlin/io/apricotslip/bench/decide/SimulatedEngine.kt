package io.apricotslip.bench.decide

import io.apricotslip.rules.engine.WorkItem
import java.util.PriorityQueue

/** Simulates the timing of an engine: continuous batching, where all streams advance together, and a prefix cache. */
internal class SimulatedEngine(
    private val loop: EventLoop,
    val kind: EngineKind,
    private val onStreamEnd: (WorkItem, Int) -> Unit,
) {
    private class Stream(val work: WorkItem, val tokens: Int, val endsAtStep: Double)

    private val streams = PriorityQueue(compareBy<Stream> { it.endsAtStep }.thenBy { it.work.id.value })
    private val prefixCache =
        object : LinkedHashMap<Pair<Any, Long>, Unit>(PREFIX_CACHE_ENTRIES, 1f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Pair<Any, Long>, Unit>): Boolean =
                size > PREFIX_CACHE_ENTRIES
        }
    private var steps = 0.0
    private var advancedAt = 0L
    private var timerGeneration = 0L

    /** Tokens generated so far: one per running stream and step. The steps of a prompt are counted as well. */
    var tokensGenerated: Double = 0.0
        private set
    val running: Int get() = streams.size
    val runningWork: List<WorkItem> get() = streams.map { it.work }

    fun start(work: WorkItem, tokens: Int) {
        advance()
        val cached = prefixCache.put(work.adapter to work.prefixHash, Unit) != null
        val prompt = if (cached) CACHED_PROMPT_STEPS else PROMPT_STEPS
        streams += Stream(work, tokens, steps + prompt + tokens)
        schedule()
    }

    /** Drops all streams and the prefix cache, as a restart does. */
    fun restart() {
        advance()
        streams.clear()
        prefixCache.clear()
        schedule()
    }

    fun advance() {
        if (streams.isNotEmpty()) {
            val newSteps = (loop.now - advancedAt) / kind.stepNanos(streams.size)
            steps += newSteps
            tokensGenerated += newSteps * streams.size
        }
        advancedAt = loop.now
    }

    private fun schedule() {
        val generation = ++timerGeneration
        val next = streams.peek() ?: return
        val wait = (next.endsAtStep - steps) * kind.stepNanos(streams.size)
        loop.scheduleAfter(wait.toLong() + 1) { if (generation == timerGeneration) completeStreams() }
    }

    private fun completeStreams() {
        advance()
        val completed = ArrayList<Stream>()
        while (streams.isNotEmpty() && streams.peek().endsAtStep <= steps + ROUNDING_TOLERANCE) {
            completed += streams.poll()
        }
        schedule()
        completed.forEach { onStreamEnd(it.work, it.tokens) }
    }

    private companion object {
        const val PREFIX_CACHE_ENTRIES = 64
        const val PROMPT_STEPS = 15
        const val CACHED_PROMPT_STEPS = 1
        const val ROUNDING_TOLERANCE = 1e-4
    }
}
