package io.sequoiawheel.standin.engine

import kotlin.math.max

/**
 * Derives the token count, kind and block hashes of a prompt. A token is [CHARACTERS_PER_TOKEN] characters. A prompt
 * that starts with `#kind ` selects the distribution of its output length; other prompts have the kind [OTHER_KIND].
 */
object PromptReader {
    /** Typical number of characters per token for English text. */
    const val CHARACTERS_PER_TOKEN = 4

    /** Kind of a prompt without a kind prefix. */
    const val OTHER_KIND = "other"

    private val kindPattern = Regex("""^#([a-z-]+)\s""")

    /** Returns the kind given in [prompt], or [OTHER_KIND]. */
    fun kindOf(prompt: String): String = kindPattern.find(prompt)?.groupValues?.get(1) ?: OTHER_KIND

    /** Returns the length of [prompt] in tokens, at least 1. */
    fun tokensOf(prompt: String): Int = max(1, prompt.length / CHARACTERS_PER_TOKEN)

    /**
     * Returns the hash chain of the full [blockTokens]-token blocks; each hash covers the prompt up to its block's end.
     */
    fun blocksOf(
        prompt: String,
        blockTokens: Int,
    ): List<Long> {
        val blockLength = blockTokens * CHARACTERS_PER_TOKEN
        var hash = FNV_OFFSET_BASIS
        return (0 until prompt.length / blockLength).map { block ->
            for (index in block * blockLength until (block + 1) * blockLength) {
                hash = (hash xor prompt[index].code.toLong()) * FNV_PRIME
            }
            hash
        }
    }

    /** Offset basis of the 64-bit FNV-1a hash, as a signed integer. */
    private const val FNV_OFFSET_BASIS = -3_750_763_034_362_895_579L

    /** Prime of the 64-bit FNV-1a hash. */
    private const val FNV_PRIME = 1_099_511_628_211L
}
