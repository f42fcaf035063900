package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ServiceName
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Long drafts, short tags and calls that arrive while an instance has 3.5 s left. */
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

    private fun mayEnd(
        kind: RequestKind,
        timeoutMillis: Long,
        outputTokens: Int? = null,
    ): Boolean {
        val demand = outputTokens?.let { GenerationDemand(3_000, it) }
        return ShutdownAdmission.mayEnd(route(kind, timeoutMillis), demand, REMAINING_MILLIS)
    }

    @Test
    fun `a long generation is left to another instance, also if its route allows less time`() {
        assertFalse(mayEnd(RequestKind.STREAM, 39_000, outputTokens = 940))
        assertFalse(mayEnd(RequestKind.STREAM, 6_000, outputTokens = 940))
    }

    @Test
    fun `short generations and calls are served`() {
        assertTrue(mayEnd(RequestKind.STREAM, 6_000, outputTokens = 12))
        assertTrue(mayEnd(RequestKind.NON_IDEMPOTENT, 2_500))
        assertTrue(mayEnd(RequestKind.IDEMPOTENT, 10_000))
    }

    private companion object {
        const val REMAINING_MILLIS = 3_500L
    }
}
