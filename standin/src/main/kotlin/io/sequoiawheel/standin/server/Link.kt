package io.sequoiawheel.standin.server

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import java.util.concurrent.atomic.AtomicInteger

/** The simulated network link of one stand-in and its faults. This class is thread-safe. */
class Link {
    private val currentFaults = MutableStateFlow(LinkFaults())
    private val pendingAnswerLosses = AtomicInteger()
    private val cuts = MutableStateFlow(0)

    /** The current faults. */
    val faults: StateFlow<LinkFaults> get() = currentFaults

    /** Number of times the open connections were cut; a stream must be aborted when this number changes. */
    val cutCount: StateFlow<Int> get() = cuts

    /** Replaces the current faults with [faults]. */
    fun applyFaults(faults: LinkFaults) {
        pendingAnswerLosses.set(faults.loseAnswers)
        currentFaults.value = faults
        if (faults.cutConnections) cutConnections()
    }

    /** Aborts the open streams and the calls that were not answered yet. */
    fun cutConnections() {
        cuts.value += 1
    }

    /** Suspends until the link is not stalled. */
    suspend fun awaitNotStalled() {
        if (currentFaults.value.stalled) currentFaults.first { !it.stalled }
    }

    /** Suspends a call while the link is stalled and then for the configured delay. */
    suspend fun awaitDelay() {
        awaitNotStalled()
        val slowMillis = currentFaults.value.slowMillis
        if (slowMillis > 0) delay(slowMillis)
    }

    /** Returns whether to lose the next answer, and decrements the number of answers to lose. */
    fun consumeAnswerLoss(): Boolean = pendingAnswerLosses.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0
}
