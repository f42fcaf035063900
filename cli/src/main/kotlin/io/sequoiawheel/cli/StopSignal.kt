package io.sequoiawheel.cli

import sun.misc.Signal
import java.util.concurrent.CountDownLatch

/**
 * Waits for SIGTERM or SIGINT without starting the shutdown of the virtual machine. A shutdown hook would run beside
 * those of the libraries, which close the servers at once, and the process could not end with exit code 0.
 */
class StopSignal {
    private val received = CountDownLatch(1)

    init {
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { received.countDown() } }
    }

    /** Blocks the thread until the first signal. */
    fun await() = received.await()
}
