package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StoreErasTest {
    private var nowMillis = 0L
    private val eras = StoreEras(Clock { nowMillis })

    @Test
    fun `a higher era is new, also when some were skipped`() {
        assertEquals(EraOrder.CURRENT, eras.observe(4))
        assertEquals(EraOrder.CURRENT, eras.observe(4))
        assertEquals(EraOrder.NEW, eras.observe(5))
        assertEquals(EraOrder.NEW, eras.observe(9))
        assertEquals(9, eras.current)
    }

    @Test
    fun `a late answer of an older era does not bring that era back`() {
        eras.observe(4)
        eras.observe(5)
        assertEquals(EraOrder.OLDER, eras.observe(4))
        assertEquals(5, eras.current)
    }

    @Test
    fun `an answer that names no era belongs to the current one`() {
        assertEquals(EraOrder.CURRENT, eras.observe(null))
        eras.observe(4)
        assertEquals(EraOrder.CURRENT, eras.observe(null))
        assertEquals(4, eras.current)
    }

    @Test
    fun `a store that was set back is believed once its old era has been silent for long`() {
        eras.observe(4)
        nowMillis = 30_000
        assertEquals(EraOrder.OLDER, eras.observe(2))
        nowMillis = 61_000
        assertEquals(EraOrder.NEW, eras.observe(2))
        assertEquals(2, eras.current)
    }
}
