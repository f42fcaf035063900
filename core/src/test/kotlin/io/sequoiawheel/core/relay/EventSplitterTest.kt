package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTimeout
import org.junit.jupiter.api.Test
import java.time.Duration

class EventSplitterTest {
    private val stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"

    @Test
    fun `events are complete for every chunk size`() {
        for (size in 1..stream.length) {
            val splitter = EventSplitter()
            val events = stream.chunked(size).flatMap { splitter.append(it.toByteArray()) }
            assertEquals(listOf(1L, 2L, null), events.map { it.id }, "in chunks of $size bytes")
            assertEquals(stream, events.joinToString("") { String(it.bytes) })
            assertEquals(0, splitter.pendingBytes)
        }
    }

    @Test
    fun `an incomplete event is not returned`() {
        val splitter = EventSplitter()
        assertEquals(1, splitter.append("id: 1\ndata: a\n\nid: 2\nda".toByteArray()).size)
        assertEquals("id: 2\nda".length, splitter.pendingBytes)
    }

    @Test
    fun `a non-numeric id is ignored`() {
        assertNull(EventSplitter().append("id: x\n\n".toByteArray()).single().id)
    }

    // Guards against a first event that is sent twice because its id is not recognized after a byte order mark.
    @Test
    fun `a byte order mark is kept at the start of a response and dropped where a response continues`() {
        val text = "\uFEFFid: 1\n\n"
        val kept = EventSplitter(keepsByteOrderMark = true).append(text.toByteArray()).single()
        val dropped = EventSplitter(keepsByteOrderMark = false).append(text.toByteArray()).single()
        assertEquals(listOf(1L, 1L), listOf(kept.id, dropped.id))
        assertEquals(text, String(kept.bytes))
        assertEquals("id: 1\n\n", String(dropped.bytes))
    }

    // The rest of the buffer was moved for each event, so that a large chunk of empty events took seconds.
    @Test
    fun `the time to split many short events grows with their number only`() {
        val events = "\n\n".repeat(MANY_EVENTS).toByteArray()
        assertTimeout(Duration.ofSeconds(2)) {
            assertEquals(MANY_EVENTS, EventSplitter().append(events).size)
        }
    }

    private companion object {
        const val MANY_EVENTS = 400_000
    }
}
