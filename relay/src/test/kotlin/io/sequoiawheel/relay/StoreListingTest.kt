package io.sequoiawheel.relay

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

    private companion object {
        const val CALLS = 20

        /** Time for the first watch response to arrive. */
        const val SETTLE_MILLIS = 200L
    }
}
