package io.sequoiawheel.core.history

import io.sequoiawheel.core.model.InstanceId
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** Guards against losing events when several coroutines record concurrently. */
class HistoryRecorderTest {
    private val recorder = HistoryRecorder()

    @Operation
    fun record(number: Int) = recorder.record(HistoryEvent.EntryConnected(number.toLong(), InstanceId("e")))

    @Operation
    fun times(): List<Long> = recorder.snapshot().map { it.atMillis }

    @Test
    fun `operations are linearizable`() =
        ModelCheckingOptions()
            .iterations(5)
            .threads(3)
            .actorsPerThread(2)
            .invocationsPerIteration(300)
            .check(this::class)
}
