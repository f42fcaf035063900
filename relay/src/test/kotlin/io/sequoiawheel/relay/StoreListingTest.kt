package io.sequoiawheel.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StoreListingTest {
    private val fixture = RelayFixture()

    @AfterEach
    fun close() = fixture.close()

    @Test
    fun `a change between two pages of a listing, to a name on the first, is not missed`() {
        val leaving = fixture.replica("r-1") { request, answer -> answer.whole(request, "from the one that leaves") }
        fixture.replica("r-2") { request, answer -> answer.whole(request, "from the one that stays") }
        fixture.store.pageSize = 1
        fixture.store.afterPage = {
            fixture.store.afterPage = {}
            fixture.register("r-1", RelayFixture.PLAIN, leaving, state = "draining")
        }
        fixture.configure()
        fixture.start()
        Thread.sleep(SETTLE_MILLIS)
        val bodies = List(CALLS) { fixture.send(fixture.request("/safe/a", id = "id-$it")).substringAfterLast("\r\n") }
        assertEquals(setOf("from the one that stays"), bodies.toSet())
    }

    private companion object {
        const val CALLS = 20

        /** Time for the first response to the watch. */
        const val SETTLE_MILLIS = 200L
    }
}
