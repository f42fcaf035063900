package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LengthEstimatorTest {
    private val estimator = LengthEstimator(maximumHistories = 100, windowSamples = 50)

    private fun key(
        workspace: String,
        kind: String = "letter",
    ) = LengthKey(ServiceName("writers"), WorkspaceName(workspace), kind)

    /** Guards against lengths of one workspace affecting another workspace that has its own history. */
    @Test
    fun `a workspace with samples has its own estimate and others fall back to the kind`() {
        repeat(30) { estimator.record(key("short"), 100) }
        repeat(60) { estimator.record(key("long"), 1_000) }
        assertEquals(100.0, estimator.quantile(key("short"), 0, 0.5).toDouble(), 10.0)
        assertEquals(1_000.0, estimator.quantile(key("unknown"), 0, 0.5).toDouble(), 100.0)
    }

    /** Guards against a remaining length of zero or less for a generation that exceeds its prediction. */
    @Test
    fun `the estimate stays above the produced length`() {
        repeat(40) { estimator.record(key("a"), 100 + it * 10) }
        assertTrue(estimator.quantile(key("a"), 300, 0.5) in 320..480)
        assertTrue(estimator.quantile(key("a"), 5_000, 0.5) > 5_000)
    }

    /** Guards against an estimator that does not adapt when the traffic changes. */
    @Test
    fun `old lengths are forgotten`() {
        repeat(200) { estimator.record(key("a"), 2_000) }
        repeat(101) { estimator.record(key("a"), 50) }
        assertEquals(50.0, estimator.quantile(key("a"), 0, 0.9).toDouble(), 5.0)
    }

    /** Guards against memory use that grows with the number of workspaces seen. */
    @Test
    fun `the number of histories is bounded`() {
        repeat(4_200) { estimator.record(key("w$it"), 100) }
        assertEquals(100, estimator.historyCount)
    }
}
