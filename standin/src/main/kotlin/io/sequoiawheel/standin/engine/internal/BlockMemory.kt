package io.sequoiawheel.standin.engine.internal

import io.sequoiawheel.standin.engine.EngineSettings

/** Allocator of the key-value memory, in blocks. */
internal class BlockMemory(
    private val settings: EngineSettings,
) {
    private val totalBlocks = settings.memoryTokens / settings.blockTokens
    private val reserveBlocks = (totalBlocks * settings.reserveShare).toInt()
    private var usedBlocks = 0

    val usedTokens: Long get() = usedBlocks.toLong() * settings.blockTokens

    /** Returns whether a sequence of [tokens] can be admitted; an idle engine ignores the reserve. */
    fun fits(
        tokens: Int,
        isIdle: Boolean,
    ): Boolean = usedBlocks + blocksOf(tokens) <= totalBlocks - (if (isIdle) 0 else reserveBlocks)

    /** Grows the allocation of [sequence] to [tokens]; returns false if there is not enough free memory. */
    fun grow(
        sequence: Sequence,
        tokens: Int,
    ): Boolean {
        val missing = blocksOf(tokens) - sequence.blocks
        if (missing <= 0) return true
        if (usedBlocks + missing > totalBlocks) return false
        usedBlocks += missing
        sequence.blocks += missing
        return true
    }

    fun free(sequence: Sequence) {
        usedBlocks -= sequence.blocks
        sequence.blocks = 0
    }

    private fun blocksOf(tokens: Int): Int = (tokens + settings.blockTokens - 1) / settings.blockTokens
}
