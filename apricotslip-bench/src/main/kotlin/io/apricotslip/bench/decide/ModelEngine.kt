package io.apricotslip.bench.decide

import io.apricotslip.rules.engine.WorkItem
import java.util.PriorityQueue

/** Timing of one engine: continuous batching in which all running streams advance together, and a prefix cache. */
internal class ModelEngine(
    private val loop: EventLoop,
    val kind: EngineKind,
    private val ended: (WorkItem, Int) -> Unit,
) {
    private class Stream(val work: WorkItem, val tokens: Int, val endsAt: Double)

    private val streams = PriorityQueue(compareBy<Stream> { it.endsAt }.thenBy { it.work.id.value })
    private val prefixes =
        object : LinkedHashMap<Pair<Any, Long>, Unit>(PREFIXES, 1f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Pair<Any, Long>, Unit>): Boolean = size > PREFIXES
        }
    private var steps = 0.0
    private var countedAt = 0L
    private var timer = 0L

    /** Tokens made so far; steps of a prompt don't count. */
    var tokensMade: Double = 0.0
        private set
    val running: Int get() = streams.size
    val works: List<WorkItem> get() = streams.map { it.work }

    fun start(work: WorkItem, tokens: Int) {
        advance()
        val cached = prefixes.put(work.adapter to work.prefixHash, Unit) != null
        val prompt = if (cached) CACHED_PROMPT_STEPS else PROMPT_STEPS
        streams += Stream(work, tokens, steps + prompt + tokens)
        schedule()
    }

    /** Loses all streams and the cache, as a restart does. */
    fun restart() {
        advance()
        streams.clear()
        prefixes.clear()
        schedule()
    }

    fun advance() {
        if (streams.isNotEmpty()) {
            val made = (loop.now - countedAt) / kind.stepNanos(streams.size)
            steps += made
            tokensMade += made * streams.size
        }
        countedAt = loop.now
    }

    private fun schedule() {
        val mine = ++timer
        val next = streams.peek() ?: return
        val wait = (next.endsAt - steps) * kind.stepNanos(streams.size)
        loop.after(wait.toLong() + 1) { if (mine == timer) finish() }
    }

    private fun finish() {
        advance()
        val done = ArrayList<Stream>()
        while (streams.isNotEmpty() && streams.peek().endsAt <= steps + ROUNDING) done += streams.poll()
        schedule()
        done.forEach { ended(it.work, it.tokens) }
    }

    private companion object {
        const val PREFIXES = 64
        const val PROMPT_STEPS = 15
        const val CACHED_PROMPT_STEPS = 1
        const val ROUNDING = 1e-4
    }
}
