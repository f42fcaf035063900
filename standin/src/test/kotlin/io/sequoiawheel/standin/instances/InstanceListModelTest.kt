package io.sequoiawheel.standin.instances

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class InstanceListModelTest {
    private val model = InstanceListModel(InstanceListSettings(lagMillis = 1_000, heartbeatTimeoutMillis = 5_000))
    private val instance =
        Instance(InstanceId("e-1"), Instance.Role.ENTRY, ZoneName("colombo-a"), "lk-west", "127.0.0.1:1")

    private fun statesAt(nowMillis: Long) = model.read(nowMillis).map { it.state }

    /** Guards against a list without lag, with which membership tests would not cover departures that are seen late. */
    @Test
    fun `reads return registrations, leaving and removal after the lag`() {
        val leaving = instance.copy(state = Instance.State.LEAVING)
        model.register(instance, 0)
        assertEquals(emptyList<Instance.State>(), statesAt(999))
        assertEquals(listOf(Instance.State.LIVE), statesAt(1_000))
        model.register(leaving, 2_000)
        assertEquals(listOf(Instance.State.LIVE), statesAt(2_999))
        assertEquals(listOf(Instance.State.LEAVING), statesAt(3_000))
        model.remove(instance.id, 4_000)
        assertEquals(listOf(Instance.State.LEAVING), statesAt(4_999))
        assertEquals(emptyList<Instance.State>(), statesAt(5_000))
    }

    /** Guards against dead instances that stay in the list forever. */
    @Test
    fun `an instance without heartbeats is removed`() {
        model.register(instance, 0)
        model.register(instance, 4_000)
        assertEquals(1, statesAt(9_000).size)
        statesAt(9_001)
        assertEquals(0, statesAt(10_001).size)
    }
}
