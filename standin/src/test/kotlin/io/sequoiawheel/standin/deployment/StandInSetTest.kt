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
    /** Guards against presets that lose a setting when they are serialized to JSON and read back. */
    @Test
    fun `presets are unchanged by a JSON round trip and are valid`() =
        StandInPresets.names.forEach { name ->
            val preset = StandInPresets.named(name)!!
            val text = Json.encodeToString(StandInSettings.serializer(), preset)
            assertEquals(preset, Json.decodeFromString(StandInSettings.serializer(), text))
            assertEquals(emptyList<String>(), preset.validationErrors())
        }

    /**
     * Guards against backend servers that never appear in the list, and against a restart under the old instance id.
     */
    @Test
    fun `backend servers register, leave and register with a new id after a restart`() =
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
