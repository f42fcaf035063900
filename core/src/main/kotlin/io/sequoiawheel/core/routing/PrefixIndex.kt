/*
 * An index of the replicas at which prompt prefixes are probably cached. Cache events of the engines arrive late and
 * with gaps, so the index may report too many or too few cached blocks. The chooser never lets it outweigh memory
 * pressure.
 */
package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId

/**
 * The cached hash-chain blocks of each replica. A block's hash covers all preceding blocks, so a cached prefix is an
 * uninterrupted sequence of known blocks that starts with the first. At most [maximumBlocks] blocks are kept per
 * replica; the oldest are evicted first. Thread-safe.
 *
 * @param blockTokens tokens per block
 */
class PrefixIndex(
    private val maximumBlocks: Int = 8_192,
    private val blockTokens: Int = 16,
) {
    private val replicas = HashMap<InstanceId, Blocks>()

    /** Returns the sequence number of the last event of [replica] and its process [startId]; 0 if there is none. */
    @Synchronized
    fun lastSequence(
        replica: InstanceId,
        startId: String,
    ): Long = replicas[replica]?.takeIf { it.startId == startId }?.sequence ?: 0

    /**
     * Applies one event. Events that were already applied are ignored. A gap may hide an eviction, so a block expires
     * if it is not stored again within [MAXIMUM_GAPS] gaps.
     */
    @Synchronized
    fun apply(
        replica: InstanceId,
        startId: String,
        sequence: Long,
        stored: List<Long>,
        evicted: List<Long>,
    ) {
        val blocks = replicas[replica]?.takeIf { it.startId == startId } ?: Blocks(startId, maximumBlocks)
        replicas[replica] = blocks
        if (sequence <= blocks.sequence) return
        if (sequence > blocks.sequence + 1) blocks.advanceGeneration()
        blocks.sequence = sequence
        evicted.forEach { blocks.remove(it) }
        stored.forEach { blocks.add(it) }
    }

    /** Returns how many tokens of a prompt with the hash chain [chain] are probably cached at [replica]. */
    @Synchronized
    fun cachedTokens(
        replica: InstanceId,
        chain: List<Long>,
    ): Long {
        val blocks = replicas[replica] ?: return 0
        return chain.takeWhile { blocks.contains(it) }.size.toLong() * blockTokens
    }

    /** Removes replicas that are not in [known]. */
    @Synchronized
    fun retain(known: Set<InstanceId>) {
        replicas.keys.retainAll(known)
    }

    private class Blocks(
        val startId: String,
        private val maximum: Int,
    ) {
        var sequence = 0L
        private var generation = 0
        private val generations = LinkedHashMap<Long, Int>()

        fun contains(hash: Long): Boolean = (generations[hash] ?: Int.MIN_VALUE) > generation - MAXIMUM_GAPS

        fun remove(hash: Long) {
            generations.remove(hash)
        }

        fun add(hash: Long) {
            generations.remove(hash)
            generations[hash] = generation
            if (generations.size > maximum) generations.remove(generations.keys.first())
        }

        fun advanceGeneration() {
            generation++
            generations.values.removeIf { it <= generation - MAXIMUM_GAPS }
        }
    }

    private companion object {
        /** A block that was not stored again during this many gaps is considered evicted. */
        const val MAXIMUM_GAPS = 4
    }
}
