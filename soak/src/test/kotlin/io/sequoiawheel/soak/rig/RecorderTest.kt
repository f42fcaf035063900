package io.sequoiawheel.soak.rig

import io.sequoiawheel.soak.history.RunEnd
import io.sequoiawheel.standin.platform.RunRecord
import io.sequoiawheel.standin.platform.RunResult
import io.sequoiawheel.standin.platform.RunStart
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class RecorderTest {
    private val recorder = Recorder()

    private fun record(): RunRecord = recorder.observe("r-1").onStarted(RunStart("q1z", "body", "s", status = 200))

    // The stop that followed replaced the end of a stream that its replica had broken off.
    @Test
    fun `the end of a stream is kept with its time beside a later stop`() {
        val record = record()
        record.endStream(RunResult.BROKEN_OFF)
        val before = recorder.history().runs.single()
        assertNull(before.endMillis)
        record.end(RunResult.STOPPED)
        record.endStream(RunResult.CONNECTION_LOST)
        val run = recorder.history().runs.single()
        assertEquals(RunEnd.BROKEN_OFF, run.firstEnd)
        assertEquals(before.streamEndMillis, run.streamEndMillis)
        assertEquals(RunEnd.STOPPED, run.end)
        assertNotNull(run.endMillis)
    }

    @Test
    fun `a stop is the first end of a stream that ends after it`() {
        val record = record()
        record.end(RunResult.STOPPED)
        record.endStream(RunResult.BROKEN_OFF)
        val run = recorder.history().runs.single()
        assertEquals(RunEnd.STOPPED, run.firstEnd)
        assertNull(run.streamEnd)
    }
}
