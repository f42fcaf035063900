package io.sequoiawheel.relay

import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StoreListingTest {
    private val fixture = RelayFixture()

    @AfterEach
    fun close() = fixture.close()

    @Test
    fun `a change to an object on the first page of a listing is not missed when it occurs before the second page`() {
        val draining =
            fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "from the draining replica") }
        fixture.replica("r-2") { request, answer -> answer.sendComplete(request, "from the ready replica") }
        fixture.store.pageSize = 1
        fixture.store.afterPage = {
            fixture.store.afterPage = {}
            fixture.register("r-1", RelayFixture.PLAIN, draining, state = "draining")
        }
        fixture.configure()
        fixture.start()
        Thread.sleep(SETTLE_MILLIS)
        val bodies = List(CALLS) { fixture.send(fixture.request("/safe/a", id = "id-$it")).substringAfterLast("\r\n") }
        assertEquals(setOf("from the ready replica"), bodies.toSet())
    }

    // A page of a megabyte did not arrive within the time of a call over a slow link, however often it was read.
    @Test
    fun `an instance starts beside large entries although the link to the store is slow`() {
        fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        val text = "x".repeat(LARGE_BYTES)
        for (name in listOf("a-1", "z-1")) fixture.store.put("servers", name, JsonPrimitive(text))
        fixture.configure()
        fixture.store.link.bytesPerSecond = SLOW_BYTES_PER_SECOND
        fixture.start()
        assertEquals("world", fixture.send(fixture.request("/safe/a")).substringAfterLast("\r\n"))
    }

    private companion object {
        const val LARGE_BYTES = 1_047_000

        /** As the slowest links of a deployment; the two entries then take 2.4 s. */
        const val SLOW_BYTES_PER_SECOND = 875_000

        const val CALLS = 20

        /** Time for the first watch response to arrive. */
        const val SETTLE_MILLIS = 200L
    }
}
