package io.sequoiawheel.standin.deployment

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StandInSetTest {
    /** Guards against presets that lose a setting on the way through their JSON form. */
    @Test
    fun `presets survive their JSON form and have no faults`() =
        StandInPresets.names.forEach { name ->
            val preset = StandInPresets.named(name)!!
            val text = Json.encodeToString(StandInSettings.serializer(), preset)
            assertEquals(preset, Json.decodeFromString(StandInSettings.serializer(), text))
            assertEquals(emptyList<String>(), preset.faults())
        }

    /** Guards against backend servers that never appear in the list, and against a restart under the old identity. */
    @Test
    fun `backends register, leave and come back with a new id`() =
        runBlocking {
            val list = StandInPresets.manjadi.instanceList!!.copy(lagMillis = 0)
            val set = StandInSet(StandInPresets.manjadi.copy(instanceList = list, heartbeatMillis = 50).withFreePorts())
            set.start()

            suspend fun awaitListed(expected: (List<Instance>) -> Boolean) =
                withTimeout(15_000) {
                    while (!expected(set.instanceList!!.model.read(System.nanoTime() / 1_000_000))) delay(10)
                }
            awaitListed { it.size == 9 }
            set.leave(InstanceId("caption-models-2"))
            awaitListed { list -> list.count { it.state == Instance.State.LEAVING } == 1 }
            val dead = set.engines.getValue(InstanceId("caption-models-1"))
            dead.stop()
            dead.start()
            awaitListed { list -> list.any { it.id.value == "caption-models-1-r2" } }
            set.close()
        }
}
