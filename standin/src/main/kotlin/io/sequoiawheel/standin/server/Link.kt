package io.sequoiawheel.standin.server

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import java.util.concurrent.atomic.AtomicInteger

/** The state of the link of one stand-in. It is thread-safe. */
class Link {
    private val faultsNow = MutableStateFlow(LinkFaults())
    private val answersToLose = AtomicInteger()
    private val cuts = MutableStateFlow(0)

    /** The faults in force. */
    val faults: StateFlow<LinkFaults> get() = faultsNow

    /** How often the open connections have been cut; whoever serves a stream ends it when the number changes. */
    val cutCount: StateFlow<Int> get() = cuts

    /** Puts [faults] in force in place of the earlier ones. */
    fun order(faults: LinkFaults) {
        answersToLose.set(faults.loseAnswers)
        faultsNow.value = faults
        if (faults.cutConnections) cutConnections()
    }

    /** Ends the open streams and calls without an answer. */
    fun cutConnections() {
        cuts.value += 1
    }

    /** Suspends while the link is stalled. */
    suspend fun awaitFlow() {
        if (faultsNow.value.stalled) faultsNow.first { !it.stalled }
    }

    /** Suspends for as long as the link holds up a call. */
    suspend fun awaitPassage() {
        awaitFlow()
        val slowMillis = faultsNow.value.slowMillis
        if (slowMillis > 0) delay(slowMillis)
    }

    /** Returns whether the answer that is about to be sent is lost, and counts it. */
    fun losesAnswer(): Boolean = answersToLose.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0
}
