package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StoreErasTest {
    private var nowMillis = 0L
    private val eras = StoreEras(Clock { nowMillis })

    @Test
    fun `a higher era is new even if some were skipped`() {
        assertEquals(EraOrder.CURRENT, eras.observe(4))
        assertEquals(EraOrder.CURRENT, eras.observe(4))
        assertEquals(EraOrder.NEW, eras.observe(5))
        assertEquals(EraOrder.NEW, eras.observe(9))
        assertEquals(9, eras.current)
    }

    @Test
    fun `a late response of an older era does not restore that era`() {
        eras.observe(4)
        eras.observe(5)
        assertEquals(EraOrder.OLDER, eras.observe(4))
        assertEquals(5, eras.current)
    }

    @Test
    fun `a response without an era belongs to the current era`() {
        assertEquals(EraOrder.CURRENT, eras.observe(null))
        eras.observe(4)
        assertEquals(EraOrder.CURRENT, eras.observe(null))
        assertEquals(4, eras.current)
    }

    @Test
    fun `a lower era becomes current after a long silence of the previous one`() {
        eras.observe(4)
        nowMillis = 30_000
        assertEquals(EraOrder.OLDER, eras.observe(2))
        nowMillis = 61_000
        assertEquals(EraOrder.NEW, eras.observe(2))
        assertEquals(2, eras.current)
    }
}
