/*
 * The load on a replica, from two sources: the load of this instance (exact) and the load that the other instances
 * report (a fraction of a second old). The load that replicas report themselves is older than both and is not used.
 */
package io.sequoiawheel.core.relay

/** Load counters and response statistics of one replica. Confined to one thread. */
class ReplicaLoad {
    /** Requests of this instance in progress. */
    var running = 0
        private set

    /** Memory, in tokens, that this instance's generations will hold when they end, including that of their copies. */
    var tokens = 0L
        private set

    /** Prompt tokens of this instance's generations that have not started to generate. */
    var promptTokens = 0L
        private set

    /** Copies of this instance's runs that are made or kept at the replica. */
    var copies = 0
        private set

    /** Requests of the other instances in progress. */
    var remoteRunning = 0

    /** Memory of the other instances' generations and copies, in tokens. */
    var remoteTokens = 0L

    /** Prompt tokens of the other instances' generations that have not started to generate. */
    var remotePromptTokens = 0L

    /** Copies of the other instances' runs. */
    var remoteCopies = 0

    /** Smoothed share of responses that failed, from 0 to 1. */
    var failureShare = 0.0
        private set

    /** Smoothed response time of plain calls in milliseconds, or null before the first. */
    var responseMillis: Double? = null
        private set

    /** Expected response time of a plain call in milliseconds. */
    val expectedResponseMillis: Double get() = responseMillis ?: INITIAL_RESPONSE_MILLIS

    val totalRunning: Int get() = running + remoteRunning
    val totalTokens: Long get() = tokens + remoteTokens
    val totalPromptTokens: Long get() = promptTokens + remotePromptTokens
    val totalCopies: Int get() = copies + remoteCopies

    /** The load of this instance. */
    internal val own: PeerWork get() = PeerWork(running, tokens, promptTokens, copies)

    /** Whether [engine] can start a generation of [demand] at once, beside this load. */
    fun hasRoomFor(
        demand: GenerationDemand,
        engine: EngineProfile,
    ): Boolean = totalRunning < engine.slots && totalTokens + demand.tokens <= engine.memoryTokens

    /** Adds a request that will use [tokens] of memory. */
    fun begin(tokens: Long) {
        running++
        this.tokens += tokens
    }

    /** Removes a request that was added with the same [tokens]. */
    fun end(tokens: Long) {
        running--
        this.tokens -= tokens
    }

    /** Adds a prompt of [tokens] that the replica must process before it generates. */
    fun beginPrompt(tokens: Long) {
        promptTokens += tokens
    }

    /** Removes a prompt that was added with the same [tokens], when its generation starts or is abandoned. */
    fun endPrompt(tokens: Long) {
        promptTokens -= tokens
    }

    /** Reserves memory for a copy of a generation that runs elsewhere. */
    fun reserve(tokens: Long) {
        beginCopy()
        this.tokens += tokens
    }

    /** Releases [tokens] of memory reserved by [reserve]. */
    fun release(tokens: Long) {
        endCopy()
        this.tokens -= tokens
    }

    /** Adds a copy, for which no memory is reserved yet. */
    fun beginCopy() {
        copies++
    }

    /** Removes a copy that was added by [beginCopy]. */
    fun endCopy() {
        copies--
    }

    /** Records whether a response was a failure of the replica. */
    fun recordOutcome(failed: Boolean) {
        failureShare += ((if (failed) 1.0 else 0.0) - failureShare) * OUTCOME_WEIGHT
    }

    /** Records the response time of a plain call. */
    fun recordResponseTime(millis: Long) {
        val previous = responseMillis ?: millis.toDouble()
        responseMillis = previous + (millis - previous) * TIME_WEIGHT
    }

    private companion object {
        /** Weight of the newest outcome: about the last eight outcomes contribute. */
        const val OUTCOME_WEIGHT = 0.12

        /** Assumed response time of a plain call before the first measurement. */
        const val INITIAL_RESPONSE_MILLIS = 40.0

        /** Weight of the newest response time: about the last five times contribute. */
        const val TIME_WEIGHT = 0.2
    }
}
