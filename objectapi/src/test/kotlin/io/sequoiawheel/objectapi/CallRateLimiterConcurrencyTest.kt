package io.sequoiawheel.objectapi

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** Guards against two concurrent callers that both acquire the last token of the bucket. */
class CallRateLimiterConcurrencyTest {
    private val limiter = CallRateLimiter(callsPerSecond = 1.0, burst = 4, clock = { 0L })

    @Operation
    fun tryAcquire(): Long = limiter.tryAcquire()

    @Test
    fun `operations are linearizable`() =
        ModelCheckingOptions()
            .iterations(5)
            .threads(3)
            .actorsPerThread(3)
            .invocationsPerIteration(500)
            .check(this::class)
}
