package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ServiceName
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Admission of long and short generations and of calls 3.5 s before an instance exits. */
class ShutdownAdmissionTest {
    private fun route(
        kind: RequestKind,
        timeoutMillis: Long,
    ) = Route(
        name = "r",
        host = "h",
        pathPrefix = "/",
        kind = kind,
        timeoutMillis = timeoutMillis,
        objectiveMillis = 1_500,
        priority = 1,
        targets = persistentListOf(WeightedService(ServiceName("s"), 1.0)),
        maximumAttempts = 1,
        isPublic = false,
        isResumable = false,
        eventGapMillis = 180,
    )

    private fun canFinish(
        kind: RequestKind,
        timeoutMillis: Long,
        outputTokens: Int? = null,
        maximumOutputTokens: Int? = outputTokens,
    ): Boolean {
        val demand = outputTokens?.let { GenerationDemand(3_000, it, maximumOutputTokens ?: it) }
        return ShutdownAdmission.canFinish(route(kind, timeoutMillis), demand, REMAINING_MILLIS)
    }

    @Test
    fun `a long generation is refused, even if the timeout of its route is short`() {
        assertFalse(canFinish(RequestKind.STREAM, 39_000, outputTokens = 940))
        assertFalse(canFinish(RequestKind.STREAM, 6_000, outputTokens = 940))
    }

    // A caller's estimate may be far below the actual length, and the process would exit within the generation.
    @Test
    fun `a generation that is estimated as short but may become long is refused`() {
        assertFalse(canFinish(RequestKind.STREAM, 39_000, outputTokens = 120, maximumOutputTokens = 1_600))
    }

    @Test
    fun `short generations and calls are admitted`() {
        assertTrue(canFinish(RequestKind.STREAM, 6_000, outputTokens = 12))
        assertTrue(canFinish(RequestKind.NON_IDEMPOTENT, 2_500))
        assertTrue(canFinish(RequestKind.IDEMPOTENT, 10_000))
    }

    private companion object {
        const val REMAINING_MILLIS = 3_500L
    }
}
