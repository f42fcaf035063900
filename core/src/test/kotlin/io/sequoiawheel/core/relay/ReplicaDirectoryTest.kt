package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ReplicaDirectoryTest {
    private var nowMillis = 0L
    private val directory = ReplicaDirectory({ nowMillis }, graceMillis = 2_300)
    private val service = ServiceName("writers")

    private fun entry(
        id: String,
        draining: Boolean = false,
        startedAtMillis: Long = 1,
    ) = ReplicaEntry(
        InstanceId(id),
        service,
        "127.0.0.1",
        1,
        ZoneName("zone-$id"),
        slots = 1,
        draining,
        0,
        startedAtMillis,
    )

    private fun usable() = directory.usable(service).map { it.entry.id.value }

    @Test
    fun `a draining or removed replica receives no new work at once`() {
        directory.replaceAll(listOf(entry("a"), entry("b"), entry("c")), afterOutage = false)
        val removed = directory.usable(service).last()
        directory.put(entry("b", draining = true))
        directory.remove(InstanceId("c"), afterOutage = false)
        assertEquals(listOf("a"), usable())
        assertTrue(removed.isLeaving)
    }

    @Test
    fun `an entry that lapsed with the store stays for the grace period only`() {
        directory.replaceAll(listOf(entry("a"), entry("b")), afterOutage = false)
        directory.replaceAll(listOf(entry("a")), afterOutage = true)
        assertEquals(listOf("a", "b"), usable())
        nowMillis = 2_300
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `an entry that came back within the grace period stays`() {
        directory.replaceAll(listOf(entry("a")), afterOutage = false)
        directory.remove(InstanceId("a"), afterOutage = true)
        nowMillis = 1_500
        directory.put(entry("a"))
        nowMillis = 5_000
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `a replica that starts again under its id is a new one`() {
        directory.put(entry("a"))
        val before = directory.usable(service).single()
        directory.put(entry("a", startedAtMillis = 2))
        assertTrue(before.isLeaving)
        assertFalse(directory.usable(service).single() === before)
    }

    @Test
    fun `an evacuated zone receives nothing until it is taken back`() {
        directory.replaceAll(listOf(entry("a"), entry("b")), afterOutage = false)
        directory.evacuate(setOf(ZoneName("zone-a")))
        assertEquals(listOf("b"), usable())
        directory.evacuate(emptySet())
        assertEquals(listOf("a", "b"), usable())
    }
}
