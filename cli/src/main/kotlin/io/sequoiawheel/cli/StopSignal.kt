package io.sequoiawheel.cli

import sun.misc.Signal
import java.util.concurrent.CountDownLatch

/**
 * Waits for SIGTERM or SIGINT without starting the shutdown of the JVM. A shutdown hook would run concurrently with
 * those of the libraries, which close the servers immediately, and the process could not exit with code 0.
 */
class StopSignal {
    private val received = CountDownLatch(1)

    init {
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { received.countDown() } }
    }

    /** Blocks the calling thread until the first signal arrives. */
    fun await() = received.await()
}
