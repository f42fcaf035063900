package io.sequoiawheel.relay

import io.sequoiawheel.relay.StreamFixture.Companion.LAST_EVENT
import io.sequoiawheel.relay.StreamFixture.Companion.events
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Asserts that the stream ended with a reset behind [body]. */
internal fun assertBrokenOff(
    received: ReceivedStream,
    body: String = events(1..2),
) {
    assertEquals(body, received.body)
    assertTrue(received.head.startsWith("HTTP/1.1 200"), received.head)
    assertFalse(received.isComplete, "the response is complete")
    assertTrue(received.isReset, "the connection was closed without a reset")
}

/** Asserts that all events and the end of the stream were received. */
internal fun assertComplete(received: ReceivedStream) {
    assertEquals(events(1..LAST_EVENT), received.body)
    assertTrue(received.isComplete, "the response is not complete")
}
