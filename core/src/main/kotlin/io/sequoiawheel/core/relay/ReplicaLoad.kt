/*
 * The work that a replica has, from two sources of different age: what this instance runs there (exact), and what the
 * other instances say that they run there (a fraction of a second old). What replicas say of their load themselves is
 * older than both and is not used.
 */
package io.sequoiawheel.core.relay

/** Counts of one replica. Confined to one thread. */
class ReplicaLoad {
    /** Requests of this instance in progress. */
    var running = 0
        private set

    /** Memory that the generations of this instance will hold at their end, and copies made for them, in tokens. */
    var tokens = 0L
        private set

    /** Prompts of this instance's generations that have not begun, in tokens. */
    var promptTokens = 0L
        private set

    /** Requests of the other instances in progress. */
    var remoteRunning = 0

    /** Memory of the other instances' generations, in tokens. */
    var remoteTokens = 0L

    /** Prompts of the other instances' generations that have not begun, in tokens. */
    var remotePromptTokens = 0L

    /** Smoothed share of responses that failed, from 0 to 1. */
    var failureShare = 0.0
        private set

    /** Smoothed response time of plain calls in milliseconds, or null before the first. */
    var responseMillis: Double? = null
        private set

    val totalRunning: Int get() = running + remoteRunning
    val totalTokens: Long get() = tokens + remoteTokens
    val totalPromptTokens: Long get() = promptTokens + remotePromptTokens

    /** Adds a request that will hold [tokens] of memory. */
    fun begin(tokens: Long) {
        running++
        this.tokens += tokens
    }

    /** Ends a request begun with the same [tokens]. */
    fun end(tokens: Long) {
        running--
        this.tokens -= tokens
    }

    /** Adds a prompt of [tokens] that the replica has to read before it generates. */
    fun beginPrompt(tokens: Long) {
        promptTokens += tokens
    }

    /** Ends a prompt begun with the same [tokens], when its generation began or was given up. */
    fun endPrompt(tokens: Long) {
        promptTokens -= tokens
    }

    /** Reserves memory for a copy of a generation that runs elsewhere. */
    fun reserve(tokens: Long) {
        this.tokens += tokens
    }

    /** Frees what [reserve] took. */
    fun free(tokens: Long) {
        this.tokens -= tokens
    }

    /** Records whether a response was a failure of the replica. */
    fun outcome(failed: Boolean) {
        failureShare += ((if (failed) 1.0 else 0.0) - failureShare) * OUTCOME_WEIGHT
    }

    /** Records the time that a plain call took. */
    fun responded(millis: Long) {
        val previous = responseMillis ?: millis.toDouble()
        responseMillis = previous + (millis - previous) * TIME_WEIGHT
    }

    private companion object {
        /** Weight of the newest outcome: about the last eight count. */
        const val OUTCOME_WEIGHT = 0.12

        /** Weight of the newest response time: about the last five count. */
        const val TIME_WEIGHT = 0.2
    }
}
