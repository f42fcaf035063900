package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class EvacuatedZonesTest {
    private var nowMillis = 0L
    private val evacuated = EvacuatedZones(Clock { nowMillis })
    private val zone = ZoneName("a")

    @Test
    fun `a zone that a copy of the store does not know as taken out stays out until it could be written again`() {
        evacuated.set(zone, isOut = true)
        evacuated.replaceAll(emptySet(), ListStanding.NEW_ERA)
        assertEquals(setOf(zone), evacuated.zones)
        nowMillis = 9_999
        assertEquals(setOf(zone), evacuated.zones)
        nowMillis = 10_000
        assertEquals(emptySet<ZoneName>(), evacuated.zones)
    }

    @Test
    fun `a second copy does not prolong the wait for a zone that nobody takes out again`() {
        evacuated.set(zone, isOut = true)
        evacuated.replaceAll(emptySet(), ListStanding.NEW_ERA)
        nowMillis = 6_000
        evacuated.replaceAll(emptySet(), ListStanding.NEW_ERA)
        nowMillis = 10_000
        assertEquals(emptySet<ZoneName>(), evacuated.zones)
    }

    @Test
    fun `a zone that the operator takes back after the copy is used at once`() {
        evacuated.set(zone, isOut = true)
        evacuated.replaceAll(emptySet(), ListStanding.NEW_ERA)
        evacuated.set(zone, isOut = true)
        nowMillis = 60_000
        assertEquals(setOf(zone), evacuated.zones)
        evacuated.set(zone, isOut = false)
        assertEquals(emptySet<ZoneName>(), evacuated.zones)
    }

    @Test
    fun `a certain list brings zones back at once`() {
        evacuated.set(zone, isOut = true)
        evacuated.replaceAll(emptySet(), ListStanding.CERTAIN)
        assertEquals(emptySet<ZoneName>(), evacuated.zones)
    }
}
