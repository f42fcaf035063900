package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.junit.jupiter.api.Test

@Param(name = "workspace", gen = IntGen::class, conf = "1:3")
class FairQueueLincheckTest {
    private val queue = FairQueue<Int>(QueueLimits(maximumRequests = 3, maximumRequestsPerWorkspace = 2))

    @Operation
    fun offer(
        @Param(name = "workspace") workspace: Int,
    ): Boolean =
        queue.offer(QueuedRequest(workspace, WorkspaceName("w$workspace"), 1, 10L * workspace), 0) is OfferResult.Queued

    @Operation
    fun poll(): Int? = queue.poll(0)?.item

    @Operation
    fun correct(
        @Param(name = "workspace") workspace: Int,
    ) = queue.correct(WorkspaceName("w$workspace"), 1, 10, 35)

    @Operation
    fun queued(): Int = queue.queued

    /** Guards against requests that are lost, duplicated or served out of order under concurrent access. */
    @Test
    fun `the fair queue is linearizable`() = options().check(this::class)
}

@Param(name = "tokens", gen = IntGen::class, conf = "1:3")
class LengthEstimatorLincheckTest {
    private val estimator = LengthEstimator(maximumHistories = 2, windowSamples = 2, minimumSamples = 1)
    private val key = LengthKey(ServiceName("writers"), WorkspaceName("w"), "letter")

    @Operation
    fun record(
        @Param(name = "tokens") tokens: Int,
    ) = estimator.record(key, tokens * 10)

    @Operation
    fun median(): Int = estimator.quantile(key, 0, 0.5)

    /** Guards against reading a histogram while another thread rotates it. */
    @Test
    fun `the length estimator is linearizable`() = options().check(this::class)
}

@Param(name = "count", gen = IntGen::class, conf = "1:4")
class SafetyFactorLincheckTest {
    private val factor = SafetyFactor(settleMillis = 0)

    @Operation
    fun report(
        @Param(name = "count") count: Int,
    ) = factor.report("a-1", count.toLong(), 0)

    @Operation
    fun reportDenial() = factor.reportDenial(0)

    @Operation
    fun value(): Double = factor.value(0)

    /** Guards against a lost decrease when two load reports arrive concurrently. */
    @Test
    fun `the safety factor is linearizable`() = options().check(this::class)
}

/** Queue operations have many switch points; 100 schedules per scenario limit the run time of this file to seconds. */
private fun options() =
    ModelCheckingOptions()
        .iterations(5)
        .threads(3)
        .actorsPerThread(2)
        .invocationsPerIteration(100)
