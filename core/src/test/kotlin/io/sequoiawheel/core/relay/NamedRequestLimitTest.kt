package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class NamedRequestLimitTest {
    private var nowMillis = 1_000L
    private val limit = NamedRequestLimit({ nowMillis })

    @Test
    fun `a response without a limit ends it`() {
        limit.name(2.5)
        nowMillis += 10
        limit.omit(sentAtMillis = nowMillis)
        assertNull(limit.perSecond)
    }

    @Test
    fun `a response that was overtaken by one with a limit does not end it`() {
        val sentAtMillis = nowMillis
        nowMillis += 10
        limit.name(2.5)
        limit.omit(sentAtMillis)
        assertEquals(2.5, limit.perSecond)
    }

    @Test
    fun `the last named limit applies`() {
        limit.name(2.5)
        limit.name(7.0)
        assertEquals(7.0, limit.perSecond)
    }
}
