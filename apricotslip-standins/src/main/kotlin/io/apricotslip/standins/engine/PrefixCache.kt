package io.apricotslip.standins.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.settings.CacheSettings
import java.time.Duration
import kotlin.random.Random

/**
 * Bounded LRU cache of prompt prefixes, in blocks. Its events are published with a lag and some are lost, which leaves
 * gaps in the event numbers. Not thread safe; call it on [loop].
 */
internal class PrefixCache(private val settings: CacheSettings, private val loop: EventLoop) {
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val published = ArrayDeque<CacheEvent>()
    private val random = Random(settings.seed)
    private val lag = Duration.ofMillis(settings.eventLagMillis)
    private var lastEventNumber = 0L

    /** Stores the prefixes of [prompt] and returns the number of its characters that were not cached. */
    fun insert(adapter: AdapterVersion, prompt: String): Int {
        val hashes = prefixHashes(adapter, prompt)
        val hits = hashes.takeWhile { blocks.get(it) != null }.size
        hashes.drop(hits).forEach(::store)
        return prompt.length - hits * settings.blockChars
    }

    /** Returns the published events with a number above [after]. */
    fun events(after: Long): CacheEvents = CacheEvents(published.filter { it.number > after })

    /** Drops all blocks and events. Event numbers continue. */
    fun clear() {
        blocks.clear()
        published.clear()
    }

    private fun prefixHashes(adapter: AdapterVersion, prompt: String): List<Long> {
        var hash = adapter.hashCode().toLong()
        return (settings.blockChars..prompt.length step settings.blockChars).map { end ->
            val block = prompt.substring(end - settings.blockChars, end)
            hash = hash * HASH_MULTIPLIER + block.hashCode()
            hash
        }
    }

    private fun store(hash: Long) {
        if (settings.blocks == 0) return
        blocks[hash] = Unit
        publish(CacheEventKind.STORED, hash)
        if (blocks.size <= settings.blocks) return
        val eldest = blocks.keys.first()
        blocks.remove(eldest)
        publish(CacheEventKind.REMOVED, eldest)
    }

    private fun publish(kind: CacheEventKind, hash: Long) {
        val event = CacheEvent(++lastEventNumber, kind, java.lang.Long.toHexString(hash))
        if (random.nextDouble() < settings.eventLossRatio) return
        loop.schedule(lag) {
            published.addLast(event)
            if (published.size > settings.maxEvents) published.removeFirst()
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
        const val HASH_MULTIPLIER = 1_000_003L
    }
}
