package io.sequoiawheel.standin.engine.internal

import io.sequoiawheel.standin.engine.CacheEvent
import io.sequoiawheel.standin.engine.EngineSettings
import org.apache.commons.rng.UniformRandomProvider

/** LRU cache of prompt blocks whose change events are published with a delay and may be lost. */
internal class PrefixCache(
    private val settings: EngineSettings.Cache,
    private val random: UniformRandomProvider,
) {
    private class PublishedEvent(
        val visibleAtMillis: Long,
        val event: CacheEvent,
    )

    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val feed = ArrayDeque<PublishedEvent>()
    private var lastSequence = 0L

    /** Returns the number of leading blocks of [chain] that are cached. */
    fun matchingBlocks(chain: List<Long>): Int {
        val firstMiss = chain.indexOfFirst { it !in blocks }
        return if (firstMiss < 0) chain.size else firstMiss
    }

    /** Adds [chain] to the cache and evicts the least recently used blocks if it is full. */
    fun store(
        chain: List<Long>,
        nowMillis: Long,
    ) {
        if (chain.isEmpty()) return
        val added = chain.filter { blocks.put(it, Unit) == null }
        val evicted = ArrayList<Long>()
        while (blocks.size > settings.blocks) {
            val oldest = blocks.keys.first()
            blocks.remove(oldest)
            evicted += oldest
        }
        if (added.isNotEmpty() || evicted.isNotEmpty()) publish(added, evicted, nowMillis)
    }

    /** Returns the published events with a number above [after]. */
    fun events(
        after: Long,
        nowMillis: Long,
    ): List<CacheEvent> = feed.filter { it.event.sequence > after && it.visibleAtMillis <= nowMillis }.map { it.event }

    /** Clears the cache and restarts the event numbers, as after a process restart. */
    fun reset() {
        blocks.clear()
        feed.clear()
        lastSequence = 0
    }

    private fun publish(
        stored: List<Long>,
        evicted: List<Long>,
        nowMillis: Long,
    ) {
        lastSequence++
        if (random.nextDouble() < settings.gapProbability) return
        feed.addLast(PublishedEvent(nowMillis + settings.delayMillis, CacheEvent(lastSequence, stored, evicted)))
        while (feed.size > settings.keptEvents) feed.removeFirst()
    }

    private companion object {
        const val INITIAL_CAPACITY = 1024
        const val LOAD_FACTOR = 0.75f
    }
}
