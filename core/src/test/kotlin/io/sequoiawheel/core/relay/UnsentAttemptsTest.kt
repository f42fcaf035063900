package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class UnsentAttemptsTest {
    private var nowMillis = 0L
    private val attempts = UnsentAttempts { nowMillis }

    // Callers got 503 after three ended replicas had refused the connection within milliseconds, while others ran.
    @Test
    fun `connections that are refused at once allow more attempts`() {
        assertEquals(8, generateSequence { attempts.mayRetry() }.takeWhile { it }.count())
    }

    @Test
    fun `connections that time out do not use up the time of the caller`() {
        val allowed =
            generateSequence {
                nowMillis += 700
                attempts.mayRetry()
            }
        assertEquals(2, allowed.takeWhile { it }.count())
    }
}
