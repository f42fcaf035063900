package io.sequoiawheel.standin.engine.internal

import io.sequoiawheel.standin.engine.CacheEvent
import io.sequoiawheel.standin.engine.EngineSettings
import org.apache.commons.rng.UniformRandomProvider

/** Least-recently-used cache of prompt blocks that publishes its changes late and with gaps. */
internal class PrefixCache(
    private val settings: EngineSettings.Cache,
    private val random: UniformRandomProvider,
) {
    private class Published(
        val visibleAtMillis: Long,
        val event: CacheEvent,
    )

    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val feed = ArrayDeque<Published>()
    private var lastSequence = 0L

    /** Returns how many leading blocks of [chain] are cached. */
    fun matchingBlocks(chain: List<Long>): Int {
        val miss = chain.indexOfFirst { it !in blocks }
        return if (miss < 0) chain.size else miss
    }

    /** Caches [chain], evicting the least recently used blocks. */
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

    /** Returns visible events with a number above [after]. */
    fun events(
        after: Long,
        nowMillis: Long,
    ): List<CacheEvent> = feed.filter { it.event.sequence > after && it.visibleAtMillis <= nowMillis }.map { it.event }

    /** Empties the cache and restarts the numbering, as a new process does. */
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
        feed.addLast(Published(nowMillis + settings.delayMillis, CacheEvent(lastSequence, stored, evicted)))
        while (feed.size > settings.keptEvents) feed.removeFirst()
    }

    private companion object {
        const val INITIAL_CAPACITY = 1024
        const val LOAD_FACTOR = 0.75f
    }
}
