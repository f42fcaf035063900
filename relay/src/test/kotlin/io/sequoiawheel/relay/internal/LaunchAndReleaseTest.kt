package io.sequoiawheel.relay.internal

import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class LaunchAndReleaseTest {
    private var released = 0

    // The load of a generation whose caller left before its first step counted for as long as its engine was listed.
    @Test
    fun `a coroutine that is cancelled before its first step releases what it holds`() =
        runBlocking {
            launchAndRelease({ released++ }) { error("not reached") }.cancelAndJoin()
            assertEquals(1, released)
        }

    @Test
    fun `a coroutine that ends releases what it holds once`() =
        runBlocking {
            launchAndRelease({ released++ }) { }.join()
            assertEquals(1, released)
        }
}
