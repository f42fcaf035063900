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
    fun `an evacuated zone that a restored snapshot lacks stays evacuated until it could be rewritten`() {
        evacuated.set(zone, isEvacuated = true)
        evacuated.replaceAll(emptySet(), ListReliability.NEW_ERA)
        assertEquals(setOf(zone), evacuated.zones)
        nowMillis = 9_999
        assertEquals(setOf(zone), evacuated.zones)
        nowMillis = 10_000
        assertEquals(emptySet<ZoneName>(), evacuated.zones)
    }

    @Test
    fun `a second restore does not extend the hold of a zone that is not evacuated again`() {
        evacuated.set(zone, isEvacuated = true)
        evacuated.replaceAll(emptySet(), ListReliability.NEW_ERA)
        nowMillis = 6_000
        evacuated.replaceAll(emptySet(), ListReliability.NEW_ERA)
        nowMillis = 10_000
        assertEquals(emptySet<ZoneName>(), evacuated.zones)
    }

    @Test
    fun `a zone that the operator returns to service after a restore is used immediately`() {
        evacuated.set(zone, isEvacuated = true)
        evacuated.replaceAll(emptySet(), ListReliability.NEW_ERA)
        evacuated.set(zone, isEvacuated = true)
        nowMillis = 60_000
        assertEquals(setOf(zone), evacuated.zones)
        evacuated.set(zone, isEvacuated = false)
        assertEquals(emptySet<ZoneName>(), evacuated.zones)
    }

    @Test
    fun `a reliable list returns zones to service immediately`() {
        evacuated.set(zone, isEvacuated = true)
        evacuated.replaceAll(emptySet(), ListReliability.CERTAIN)
        assertEquals(emptySet<ZoneName>(), evacuated.zones)
    }
}
