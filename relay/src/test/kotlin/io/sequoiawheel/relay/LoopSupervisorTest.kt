package io.sequoiawheel.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.relay.control.LoopSupervisor
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicInteger

class LoopSupervisorTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default.limitedParallelism(1))
    private val clock = Clock { System.nanoTime() / 1_000_000 }
    private val metrics = RelayMetrics()
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED)
    private val exhausted = AtomicInteger()
    private val loops =
        LoopSupervisor(scope, clock, random, DecisionLog(clock), metrics, onExhausted = { exhausted.incrementAndGet() })

    @AfterEach
    fun close() = scope.cancel()

    // A loop that ended stayed ended, and nothing said so.
    @Test
    fun `a loop that ends by an exception, an error or a cancelled call is counted and started again`() {
        val starts = AtomicInteger()
        loops.start("planted") {
            when (starts.incrementAndGet()) {
                1 -> error("planted failure")
                2 -> throw StackOverflowError()
                3 -> throw CancellationException("a call was cancelled")
                else -> awaitCancellation()
            }
        }
        RelayFixture.awaitTrue("the loop was started again after each failure") { starts.get() == 4 }
        assertTrue(metrics.scrape().contains("""sequoiawheel_loops_failed_total{reason="planted"} 3.0"""))
    }

    // A loop that ran out of memory started the same reading again for ever, and the instance never became ready.
    @Test
    fun `a loop that runs out of memory starts again once, and reports the second time`() {
        val starts = AtomicInteger()
        val loop =
            loops.start("planted") {
                starts.incrementAndGet()
                throw OutOfMemoryError("planted failure")
            }
        RelayFixture.awaitTrue("the loop ended") { loop.isCompleted }
        assertEquals(2 to 1, starts.get() to exhausted.get())
        assertTrue(metrics.scrape().contains("""sequoiawheel_loops_ended_total{reason="planted"} 1.0"""))
    }

    @Test
    fun `a loop that runs out of memory once goes on`() {
        val starts = AtomicInteger()
        loops.start("planted") {
            if (starts.incrementAndGet() == 1) throw OutOfMemoryError("planted failure") else awaitCancellation()
        }
        RelayFixture.awaitTrue("the loop was started again") { starts.get() == 2 }
        assertEquals(0, exhausted.get())
    }

    // Several loops that ran out of memory in the same moment ended the process without another attempt.
    @Test
    fun `loops that run out of memory once each go on`() {
        val starts = List(LOOPS) { AtomicInteger() }
        starts.forEachIndexed { number, own ->
            loops.start("planted $number") {
                if (own.incrementAndGet() == 1) throw OutOfMemoryError("planted failure") else awaitCancellation()
            }
        }
        RelayFixture.awaitTrue("all were started again") { starts.all { it.get() == 2 } }
        assertEquals(0, exhausted.get())
    }

    @Test
    fun `a loop that returns or is cancelled is not started again`() {
        val starts = AtomicInteger()
        val returned = loops.start("returns") { starts.incrementAndGet() }
        val cancelled =
            loops.start("cancelled") {
                starts.incrementAndGet()
                awaitCancellation()
            }
        RelayFixture.awaitTrue("both started") { starts.get() == 2 }
        cancelled.cancel()
        RelayFixture.awaitTrue("both ended") { returned.isCompleted && cancelled.isCompleted }
        Thread.sleep(SETTLE_MILLIS)
        assertEquals(2, starts.get())
    }

    private companion object {
        const val SEED = 30L
        const val LOOPS = 3

        /** Longer than the first backoff. */
        const val SETTLE_MILLIS = 300L
    }
}
