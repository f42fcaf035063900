package io.sequoiawheel.standin.engine.internal

import io.sequoiawheel.standin.engine.EngineSettings

/** The key-value memory in blocks. */
internal class BlockMemory(
    private val settings: EngineSettings,
) {
    private val totalBlocks = settings.memoryTokens / settings.blockTokens
    private val reserveBlocks = (totalBlocks * settings.reserveShare).toInt()
    private var usedBlocks = 0

    val usedTokens: Long get() = usedBlocks.toLong() * settings.blockTokens

    /** Whether a sequence of [tokens] can be admitted; the reserve is ignored while nothing runs. */
    fun fits(
        tokens: Int,
        isIdle: Boolean,
    ): Boolean = usedBlocks + blocksOf(tokens) <= totalBlocks - (if (isIdle) 0 else reserveBlocks)

    /** Grows [sequence] to hold [tokens]; returns false if the memory is full. */
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
