package io.sequoiawheel.standin.instances

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** Guards against registrations and removals that are lost when they run concurrently with a read. */
class InstanceListConcurrencyTest {
    private val model = InstanceListModel(InstanceListSettings(lagMillis = 0))

    @Operation
    fun register(number: Int) = model.register(instance(number), 0)

    @Operation
    fun remove(number: Int) = model.remove(InstanceId("$number"), 0)

    @Operation
    fun read(): Set<String> = model.read(0).map { it.id.value }.toSet()

    private fun instance(number: Int) =
        Instance(InstanceId("$number"), Instance.Role.ENTRY, ZoneName("z"), "r", "127.0.0.1:1")

    @Test
    fun `operations are linearizable`() =
        ModelCheckingOptions()
            .iterations(3)
            .threads(3)
            .actorsPerThread(2)
            .invocationsPerIteration(100)
            .check(this::class)
}
