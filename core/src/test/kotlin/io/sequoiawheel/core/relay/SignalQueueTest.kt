package io.sequoiawheel.core.relay

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class SignalQueueTest {
    @Test
    fun `a signal that arrives as the timeout expires is not lost`() =
        runTest {
            val queue = SignalQueue<Int>()
            launch {
                repeat(ROUNDS) { round ->
                    delay(WAIT_MILLIS)
                    queue.sender.send(round)
                }
            }
            val received = ArrayList<Int>()
            while (received.size < ROUNDS) queue.receiveWithin(WAIT_MILLIS)?.let { received += it }
            assertEquals((0 until ROUNDS).toList(), received)
        }

    @Test
    fun `an empty queue returns null after the timeout`() =
        runTest {
            assertNull(SignalQueue<Int>().receiveWithin(WAIT_MILLIS))
        }

    private companion object {
        const val WAIT_MILLIS = 150L
        const val ROUNDS = 100
    }
}
