package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ReplicaStreamTest {
    private val delivery = Delivery(resumeAfter = null)

    /** Returns what is delivered of [text], which is sent on [stream]. Stops at the first event that is not valid. */
    private fun delivered(
        stream: ReplicaStream,
        text: String,
        splitter: EventSplitter = EventSplitter(),
    ): String {
        val delivered = StringBuilder()
        for (event in splitter.append(text.toByteArray())) {
            when (val decision = stream.decide(event)) {
                DeliveryDecision.DELIVER -> delivered.append(String(event.bytes))
                DeliveryDecision.SKIP -> Unit
                else -> return delivered.append(decision.name).toString()
            }
        }
        return delivered.toString()
    }

    private fun begin() = delivered(ReplicaStream(delivery, continuesAfter = null), "id: 1\n\nid: 2\n\n")

    // Guards against a replica's own events being withheld because they have no id.
    @Test
    fun `the stream that starts the response is delivered with its events without an id`() {
        val text = ": hello\n\nid: 1\ndata\n\ndata: a\n\nx-weights-version: 4\nid: 2\n\nid: 3\nretry: 5\n\n"
        val stream = ReplicaStream(delivery, continuesAfter = null)
        assertEquals(text, delivered(stream, text))
        assertTrue(stream.isAtEnd)
    }

    // Guards against the text of another response between the events of a stream.
    @Test
    fun `events without an id are skipped until a numbered one shows where the stream continues`() {
        begin()
        val stream = ReplicaStream(delivery, continuesAfter = 2)
        assertEquals("", delivered(stream, "event: error\ndata: failed\n\n"))
        assertFalse(stream.isAtEnd)
        assertEquals("", delivered(stream, "id: 2\n\ndata: a\n\n"))
        assertEquals("id: 3\n\ndata: b\n\n", delivered(stream, "id: 3\n\ndata: b\n\n"))
        assertTrue(stream.isAtEnd)
    }

    // Guards against a response that ends at an event before the last one that was delivered.
    @Test
    fun `a stream that ends before the last delivered event is not at the end`() {
        begin()
        val stream = ReplicaStream(delivery, continuesAfter = 1)
        assertFalse(stream.isAtEnd)
        delivered(stream, "id: 1\n\n")
        assertFalse(stream.isAtEnd)
        delivered(stream, "id: 2\n\n")
        assertTrue(stream.isAtEnd)
    }

    @Test
    fun `a stream without further events after the last delivered one is at the end`() {
        begin()
        assertTrue(ReplicaStream(delivery, continuesAfter = 2).isAtEnd)
    }

    @Test
    fun `a gap after the event to continue after is detected before anything was delivered`() {
        assertEquals("GAP", delivered(ReplicaStream(delivery, continuesAfter = 0), "id: 4\n\n"))
        assertEquals("id: 1\n\n", delivered(ReplicaStream(delivery, continuesAfter = 0), "id: 1\n\n"))
    }

    @Test
    fun `text that is no event is invalid`() {
        val texts =
            listOf(
                "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n",
                "upstream failed\n\n",
                "{\"error\": 1}\n\n",
                "<html>\n\n",
                "id: x\n\n",
                "id: 99999999999999999999\n\n",
                "id: 3\nid: 4\n\n",
                "id: 3\rdata: a\r\rid: 4\n\n",
                "\uFEFFid: 3\n\n",
            )
        begin()
        for (text in texts) {
            val splitter = EventSplitter().also { it.append("\n\n".toByteArray()) }
            assertEquals("INVALID", delivered(ReplicaStream(delivery, continuesAfter = 2), text, splitter), text)
        }
    }
}
